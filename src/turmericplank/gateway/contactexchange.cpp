#include "turmericplank/gateway/contactexchange.hpp"

#include <utility>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

constexpr const char *ContactKind = "gateway/contact";

} // namespace

ContactExchange::ContactExchange(boost::asio::io_context &context, peer::Mesh &mesh, Peers &peers, PeerContact &contact)
    : m_peers(peers)
    , m_contact(contact)
{
    mesh.handle(ContactKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        answer.end();
        handleMessage(from, body);
    });
    daemon::callEvery(context, m_options.interval, [this] {
        m_contact.expire(base::now());
        sendSummaries();
    });
}

void ContactExchange::sendSummaries()
{
    if (!m_peers.isLeaseHolder()) {
        return;
    }
    const auto statuses = m_peers.heardStatuses();
    const auto &self = statuses.front();
    const auto own = summarizeContacts(statuses, self);
    m_contact.noteSummary(own, base::now());
    // The last summary is empty and ends the ones before.
    if (!std::exchange(m_wasTold, !own.empty()) && own.empty()) {
        return;
    }
    for (const auto &it : statuses) {
        if (it.from != self.from) {
            m_peers.sendTo(it.from, ContactKind, encode(summarizeContacts(statuses, it)));
        }
    }
}

void ContactExchange::notePeerStatus(const std::set<base::ServiceName> &before, const PeerStatus &status)
{
    if (m_peers.isLeaseHolder() && status.unreachableServices != before) {
        m_peers.sendTo(status.from, ContactKind, encode(summarizeContacts(m_peers.heardStatuses(), status)));
    }
}

void ContactExchange::handleMessage(const base::DaemonId &from, const std::string &body)
{
    const auto contacts = decodeServiceContacts(body);
    if (!contacts) {
        telemetry::log(telemetry::LogLevel::Warning, "peers", "cannot decode contacts", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        return;
    }
    const auto now = base::now();
    const auto before = m_contact.services(now);
    m_contact.noteSummary(*contacts, now);
    for (const auto &it : *contacts) {
        if (!before.contains(it.service)) {
            telemetry::log(telemetry::LogLevel::Info, "peers", "daemons without contact to a service",
                           {{"service", it.service.text()}, {"without", std::uint64_t(it.daemonsWithout)}, {"targets", std::uint64_t(it.daemonsWith.size())}});
        }
    }
}

} // namespace turmericplank::gateway
