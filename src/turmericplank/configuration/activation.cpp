#include "turmericplank/configuration/activation.hpp"

#include <algorithm>
#include <set>

#include "freshness.hpp"
#include "preparation.hpp"

namespace turmericplank::configuration {

class Activation::State
{
public:
    State(ActivationOptions options, base::Time now)
        : m_options(std::move(options))
        , m_freshness(m_options, now)
        , m_preparation(m_options)
    {
    }

    std::vector<ActivationAction> handle(const ActivationEvent &event, base::Time now)
    {
        m_actions.clear();
        m_freshness.tick(now);
        std::visit([this, now](const auto &it) { on(it, now); }, event);
        advance(now);
        return std::move(m_actions);
    }

    base::Time nextDeadline() const
    {
        auto deadline = std::min(m_freshness.nextDeadline(), m_preparation.nextDeadline());
        for (const auto &it : m_pointer.entries) {
            if (it.revision > m_inForce.revision && m_preparation.isReady(it.revision)) {
                deadline = std::min(deadline, it.inForceFrom);
            }
        }
        return deadline;
    }

    const ActiveConfiguration &inForce() const
    {
        return m_inForce;
    }

    Admission admission(base::Time now) const
    {
        if (m_inForce.document == nullptr) {
            return Admission::Starting;
        }
        if (m_options.rules.rejectsWhenLate && isLate(now)) {
            return Admission::Late;
        }
        return m_freshness.isIsolated(now) ? Admission::Isolated : Admission::Serve;
    }

    RevisionNotice notice() const
    {
        const auto inForceFrom = m_pointer.entries.empty() ? base::Time() : m_pointer.entries.back().inForceFrom;
        return {m_pointer.highest(), inForceFrom, m_preparation.newestReady(), m_inForce.revision, m_freshness.confirmedAt()};
    }

    const Pointer &pointer() const
    {
        return m_pointer;
    }

    const std::string *object(const std::string &name) const
    {
        return m_preparation.object(name);
    }

private:
    void on(const PointerRead &event, base::Time now)
    {
        m_freshness.readEnded(event.read, event.pointer.has_value(), now);
        if (event.pointer && *event.pointer) {
            adoptPointer(**event.pointer);
            // Saves the peers from reading the pointer as well.
            m_actions.push_back(NotifyPeers{notice()});
        }
    }

    void on(const NoticeReceived &event, base::Time now)
    {
        m_freshness.noticeReceived(event.notice, m_pointer.highest(), now);
        m_preparation.setPeerRevision(event.peer, event.notice.ready);
        if (event.notice.highest <= m_pointer.highest()) {
            return;
        }
        m_highestNoticed = std::max(m_highestNoticed, event.notice.highest);
        m_noticedInForceFrom = std::max(m_noticedInForceFrom, event.notice.inForceFrom);
        if (m_askedPeers.insert(event.peer).second) {
            m_actions.push_back(RequestPointer{event.peer});
        }
    }

    void on(const PeerPointerReceived &event, base::Time now)
    {
        m_askedPeers.erase(event.peer);
        if (event.pointer) {
            m_freshness.peerResponded(now);
            // The peer most likely holds the objects of the revisions it knows; if not, the next source is asked.
            m_preparation.setPeerRevision(event.peer, event.pointer->highest());
            adoptPointer(*event.pointer);
        }
    }

    void on(const ObjectsReceived &event, base::Time now)
    {
        m_preparation.objectsReceived(event, now);
    }

    void on(const LocallyAccepted &event, base::Time now)
    {
        m_preparation.objectsReceived({std::nullopt, event.objects}, now);
        adoptPointer(event.pointer);
    }

    void on(const PeersListed &event, base::Time)
    {
        m_freshness.setHasPeers(event.hasOthers);
    }

    void on(const Tick &, base::Time)
    {
    }

    void adoptPointer(const Pointer &pointer)
    {
        if (!m_options.rules.mayFollow(pointer.highest(), m_pointer.highest())) {
            return;
        }
        m_pointer = pointer;
        m_actions.push_back(NotifyPeers{notice()});
    }

    /// Does whatever is due at this time, independent of the event.
    void advance(base::Time now)
    {
        if (m_freshness.isReadDue(now)) {
            m_actions.push_back(ReadPointer{m_freshness.beginRead(now)});
        }
        prepare(now);
        switchOver(now);
    }

    void prepare(base::Time now)
    {
        m_preparation.setIdle();
        const auto *due = m_pointer.inForceAt(now);
        for (const auto &it : m_pointer.entries) {
            const auto isSuperseded = due != nullptr && it.revision < due->revision;
            const auto isNext = m_options.rules.mayFollow(it.revision, m_inForce.revision);
            if (isSuperseded || !isNext || m_preparation.isReady(it.revision)) {
                continue;
            }
            if (!m_preparation.advance(it, now, m_actions)) {
                return;
            }
            m_actions.push_back(NotifyPeers{notice()});
        }
    }

    void switchOver(base::Time now)
    {
        const auto &entries = m_pointer.entries;
        const auto isDue = [this, now](const auto &it) {
            return m_options.rules.switchTime(it.inForceFrom, now) <= now;
        };
        const auto due = std::find_if(entries.rbegin(), entries.rend(), isDue);
        if (due == entries.rend() || due->revision == m_inForce.revision || !m_options.rules.mayFollow(due->revision, m_inForce.revision)) {
            return;
        }
        const auto document = m_preparation.take(due->revision);
        if (document == nullptr) {
            return;
        }
        // The first revision of a starting daemon is never late, because the daemon served no older one.
        const auto isLate = m_inForce.document != nullptr && due->inForceFrom + m_options.retryInterval < now;
        m_inForce = {due->revision, due->digest, document};
        m_actions.push_back(SwitchRevision{m_inForce, isLate});
    }

    bool isLate(base::Time now) const
    {
        const auto *due = m_pointer.inForceAt(now);
        const auto isBehindPointer = due != nullptr && due->revision > m_inForce.revision;
        const auto isBehindPeers = m_highestNoticed > m_pointer.highest() && m_noticedInForceFrom <= now;
        return isBehindPointer || isBehindPeers || m_freshness.isUnconfirmed(now);
    }

    ActivationOptions m_options;
    Freshness m_freshness;
    Preparation m_preparation;
    Pointer m_pointer;
    ActiveConfiguration m_inForce;
    base::Revision m_highestNoticed; ///< newest revision of all notices that were ahead of m_pointer
    base::Time m_noticedInForceFrom; ///< when that revision comes into force
    std::set<base::DaemonId> m_askedPeers; ///< peers that were asked for their pointer and have not responded
    std::vector<ActivationAction> m_actions;
};

Activation::Activation(ActivationOptions options, base::Time now)
    : m_state(std::make_unique<State>(std::move(options), now))
{
}

Activation::~Activation() = default;

std::vector<ActivationAction> Activation::handle(const ActivationEvent &event, base::Time now)
{
    return m_state->handle(event, now);
}

base::Time Activation::nextDeadline() const
{
    return m_state->nextDeadline();
}

const ActiveConfiguration &Activation::inForce() const
{
    return m_state->inForce();
}

Admission Activation::admission(base::Time now) const
{
    return m_state->admission(now);
}

RevisionNotice Activation::notice() const
{
    return m_state->notice();
}

const Pointer &Activation::pointer() const
{
    return m_state->pointer();
}

const std::string *Activation::object(const std::string &name) const
{
    return m_state->object(name);
}

} // namespace turmericplank::configuration
