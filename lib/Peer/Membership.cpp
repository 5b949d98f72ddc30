// Heartbeats between all balancers that the platform lists.

#include "bramleylock/Peer/Membership.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

static constexpr Milliseconds kHeartbeatEvery{ 500 };

/// A member that was not heard for this long is dead until it is heard again.
static constexpr Milliseconds kMemberTimeout{ 2500 };

Membership::Membership(asio::io_context& aContext, PeerHub& aHub,
                       wire::Hello aSelf)
  : m_context(aContext)
  , m_hub(aHub)
  , m_self(std::move(aSelf))
{
}

auto Membership::Start(std::function<void(wire::Heartbeat&)> aFill) -> void
{
  m_fill = std::move(aFill);
  m_hub.On(wire::MessageType::Heartbeat,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             Receive(aSender, aBody);
           });
  Spawn(m_context, "heartbeats", HeartbeatLoop());
}

auto Membership::SetHints(const std::vector<MemberHint>& aHints) -> void
{
  for (const auto& hint : aHints) {
    if (hint.address == m_self.address) {
      continue;
    }
    auto [position, added] = m_members.try_emplace(hint.address);
    if (added) {
      position->second.vm = hint.vm;
      position->second.failureDomain = hint.failureDomain;
      position->second.address = hint.address;
    }
  }
}

auto Membership::OnHeartbeat(std::function<void(const Member&)> aListener)
  -> void
{
  m_listener = std::move(aListener);
}

auto Membership::IsAlive(const std::string& aAddress,
                         std::uint64_t aIncarnation) const -> bool
{
  const auto found = m_members.find(aAddress);
  if (found == m_members.end()) {
    // A balancer that has just started knows no members yet; the token's
    // signature vouches for the address.
    return true;
  }
  const auto& member = found->second;
  const bool replaced = member.incarnation > aIncarnation;
  const bool gone =
    member.state == MemberState::Dead || member.state == MemberState::Left;
  return !replaced && !gone;
}

auto Membership::Heard(const std::string& aAddress) const -> bool
{
  const auto found = m_members.find(aAddress);
  return found != m_members.end() &&
         found->second.state != MemberState::Candidate;
}

auto Membership::Alive() const -> std::vector<Member>
{
  std::vector<Member> alive;
  for (const auto& [address, member] : m_members) {
    if (member.state == MemberState::Alive) {
      alive.push_back(member);
    }
  }
  return alive;
}

auto Membership::AliveInDomain() const -> std::vector<Member>
{
  auto alive = Alive();
  std::erase_if(alive, [this](const Member& aMember) {
    return aMember.failureDomain != m_self.failureDomain;
  });
  return alive;
}

auto Membership::All() const -> std::vector<Member>
{
  std::vector<Member> all;
  for (const auto& [address, member] : m_members) {
    all.push_back(member);
  }
  return all;
}

auto Membership::Self() const -> const wire::Hello&
{
  return m_self;
}

auto Membership::Announce() -> void
{
  wire::Heartbeat heartbeat;
  m_fill(heartbeat);
  const auto body = wire::PackBody(heartbeat);
  for (const auto& [address, member] : m_members) {
    m_hub.Send(address, wire::MessageType::Heartbeat, body);
  }
}

auto Membership::HeartbeatLoop() -> awaitable<void>
{
  for (;;) {
    Expire();
    Announce();
    co_await Sleep(kHeartbeatEvery);
  }
}

auto Membership::Receive(const wire::Hello& aSender, const std::string& aBody)
  -> void
{
  auto heartbeat = wire::UnpackBody<wire::Heartbeat>(aBody);
  if (!heartbeat || aSender.address == m_self.address) {
    return;
  }
  auto& member = m_members[aSender.address];
  if (aSender.incarnation < member.incarnation) {
    return;
  }
  if (member.state != MemberState::Alive) {
    LogInfo("member-alive", { { "peer", aSender.vm } });
  }
  member.vm = aSender.vm;
  member.failureDomain = aSender.failureDomain;
  member.address = aSender.address;
  member.incarnation = aSender.incarnation;
  member.lastHeard = Clock::now();
  member.state = MemberState::Alive;
  member.latest = std::move(*heartbeat);
  if (m_listener) {
    m_listener(member);
  }
}

auto Membership::Expire() -> void
{
  const auto now = Clock::now();
  for (auto& [address, member] : m_members) {
    if (member.state == MemberState::Alive &&
        now - member.lastHeard > kMemberTimeout) {
      member.state = MemberState::Dead;
      LogWarning("member-dead", { { "peer", member.vm } });
    }
  }
}

} // namespace bramleylock::peer
