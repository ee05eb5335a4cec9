#include "turmericplank/membership/entrydirectory.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::membership {

namespace {

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

EntryDirectory::EntryDirectory(EntryDirectoryOptions options)
    : m_options(options)
{
}

double EntryDirectory::expectedLoad(const Member &member, base::Time now) const
{
    const auto it = m_issued.find(member.record.id);
    if (it == m_issued.end()) {
        return member.load;
    }
    const double age = std::chrono::duration<double>(now - it->second.at) / std::chrono::duration<double>(m_options.answerDecayTime);
    return member.load + m_options.answerWeight * it->second.weight * std::exp(-std::max(0.0, age));
}

tl::expected<EntryAnswer, EntryDirectoryFailure> EntryDirectory::answer(const std::vector<Member> &members, const base::ZoneName &zone, base::Time now,
                                                                        std::mt19937_64 &random)
{
    struct Candidate
    {
        const Member *member;
        double sortKey;
    };
    std::vector<const Member *> usable;
    for (const auto &it : members) {
        if (it.state == LiveState::Live && it.record.callerAddress.port != 0) {
            usable.push_back(&it);
        }
    }
    if (usable.empty()) {
        return tl::unexpected(EntryDirectoryFailure::NoDaemon);
    }
    double total = 0;
    for (const auto *it : usable) {
        total += expectedLoad(*it, now);
    }
    const double average = total / static_cast<double>(usable.size()) + 1;
    std::vector<Candidate> candidates;
    base::Revision revision;
    for (const auto *it : usable) {
        const double relativeLoad = (expectedLoad(*it, now) + 1) / average;
        const double weight = (it->record.zone == zone ? m_options.sameZoneFactor : 1.0) / (relativeLoad * relativeLoad * relativeLoad);
        // Weighted sampling without replacement: sorts by exponential variates whose rates are the weights.
        candidates.push_back({it, -std::log(1 - uniform(random)) / weight});
        revision = std::max(revision, it->revision);
    }
    std::ranges::sort(candidates, {}, &Candidate::sortKey);
    candidates.resize(std::min(candidates.size(), m_options.addressCount));
    const auto lifetimeFactor = 1 - m_options.lifetimeJitter * uniform(random);
    EntryAnswer answer;
    answer.useUntil = now + std::chrono::duration_cast<base::Duration>(m_options.answerLifetime * lifetimeFactor);
    answer.revision = revision;
    for (const auto &it : candidates) {
        answer.addresses.push_back(it.member->record.callerAddress);
        auto &issued = m_issued[it.member->record.id];
        issued.useUntil = std::max(issued.useUntil, answer.useUntil);
    }
    auto &first = m_issued[candidates.front().member->record.id];
    const double age = std::chrono::duration<double>(now - first.at) / std::chrono::duration<double>(m_options.answerDecayTime);
    first.weight = first.weight * std::exp(-std::max(0.0, age)) + 1;
    first.at = now;
    return answer;
}

base::Time EntryDirectory::lastUseUntil(const base::DaemonId &daemon) const
{
    const auto it = m_issued.find(daemon);
    return it == m_issued.end() ? base::Time() : it->second.useUntil;
}

base::Duration EntryDirectory::answerLifetime() const
{
    return m_options.answerLifetime;
}

} // namespace turmericplank::membership
