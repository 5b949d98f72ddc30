// Registries of plug-ins, which register themselves by name at start-up.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleylock {

/// Factories of the plug-ins that implement Interface. A plug-in is constructed
/// from Arguments.
template<typename Interface, typename... Arguments>
class Registry
{
public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  static auto Instance() -> Registry&
  {
    static Registry registry;
    return registry;
  }

  auto Add(const std::string& aName, Factory aFactory) -> void
  {
    m_factories[aName] = std::move(aFactory);
  }

  auto Has(const std::string& aName) const -> bool
  {
    return m_factories.contains(aName);
  }

  /// Returns the registered names in alphabetical order.
  auto Names() const -> std::vector<std::string>
  {
    std::vector<std::string> names;
    for (const auto& [name, factory] : m_factories) {
      names.push_back(name);
    }
    return names;
  }

  /// Constructs the plug-in with the name aName, or returns null when there is
  /// none.
  auto Create(const std::string& aName, Arguments... aArguments) const
    -> std::unique_ptr<Interface>
  {
    const auto found = m_factories.find(aName);
    return found == m_factories.end()
             ? nullptr
             : found->second(std::forward<Arguments>(aArguments)...);
  }

private:
  std::map<std::string, Factory> m_factories;
};

/// Registers Implementation under a name when it is constructed; meant for
/// objects of static storage duration.
template<typename RegistryType, typename Implementation>
class Registration
{
public:
  explicit Registration(const char* aName)
  {
    RegistryType::Instance().Add(aName, [](auto&&... aArguments) {
      return std::make_unique<Implementation>(
        std::forward<decltype(aArguments)>(aArguments)...);
    });
  }
};

} // namespace bramleylock
