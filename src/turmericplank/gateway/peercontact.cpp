#include "turmericplank/gateway/peercontact.hpp"

#include <algorithm>
#include <functional>

#include "msgpackarrays.hpp"

namespace turmericplank::gateway {

namespace {

constexpr std::size_t MaxDaemonsWith = 8; ///< for one daemon and service, which bounds the message and the connections between daemons

bool mayTakeCalls(const PeerStatus &status)
{
    return status.isReady && !status.isDraining;
}

/// The daemons that come first in an order that is another one for each recipient.
std::vector<base::DaemonId> chooseDaemons(std::vector<base::DaemonId> daemons, const base::DaemonId &recipient)
{
    const auto rank = [&](const base::DaemonId &it) {
        return std::hash<std::string>()(recipient.text() + '/' + it.text());
    };
    const auto count = std::min(daemons.size(), MaxDaemonsWith);
    std::ranges::partial_sort(daemons, daemons.begin() + static_cast<std::ptrdiff_t>(count), {}, rank);
    daemons.resize(count);
    return daemons;
}

} // namespace

std::string encode(const std::vector<ServiceContact> &contacts)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packArraySize(packer, contacts.size());
    for (const auto &contact : contacts) {
        packArraySize(packer, 3);
        packer.pack(contact.service.text());
        packer.pack(contact.daemonsWithout);
        packArraySize(packer, contact.daemonsWith.size());
        for (const auto &it : contact.daemonsWith) {
            packer.pack(it.text());
        }
    }
    return {buf.data(), buf.size()};
}

tl::expected<std::vector<ServiceContact>, MessageDecodeFailure> decodeServiceContacts(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        std::vector<ServiceContact> contacts;
        for (const auto &it : members(handle.get(), 0)) {
            const auto fields = members(it, 3);
            ServiceContact contact{base::ServiceName(fields[0].as<std::string>()), fields[1].as<std::uint32_t>(), {}};
            for (const auto &daemon : members(fields[2], 0)) {
                contact.daemonsWith.emplace_back(daemon.as<std::string>());
            }
            contacts.push_back(std::move(contact));
        }
        return contacts;
    } catch (const std::exception &) {
        // The library reports truncated or malformed input by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

std::vector<ServiceContact> summarizeContacts(const std::vector<PeerStatus> &statuses, const PeerStatus &recipient)
{
    std::set<base::ServiceName> services;
    for (const auto &it : statuses) {
        services.insert(it.unreachableServices.begin(), it.unreachableServices.end());
    }
    std::vector<ServiceContact> contacts;
    for (const auto &service : services) {
        ServiceContact contact{service, 0, {}};
        for (const auto &it : statuses) {
            contact.daemonsWithout += reaches(it, service) ? 0 : 1;
            if (!reaches(recipient, service) && reaches(it, service) && mayTakeCalls(it)) {
                contact.daemonsWith.push_back(it.from);
            }
        }
        contact.daemonsWith = chooseDaemons(std::move(contact.daemonsWith), recipient.from);
        contacts.push_back(std::move(contact));
    }
    return contacts;
}

PeerContact::PeerContact(PeerContactOptions options)
    : m_options(options)
{
}

void PeerContact::noteSummary(const std::vector<ServiceContact> &contacts, base::Time now)
{
    m_contacts.clear();
    for (const auto &it : contacts) {
        m_contacts.emplace(it.service, it);
    }
    m_validUntil = now + m_options.lifetime;
}

void PeerContact::noteRefusal(const base::DaemonId &daemon, const base::ServiceName &service, base::Time now)
{
    m_refusedUntil[{daemon, service}] = now + m_options.refusalTime;
}

bool PeerContact::hasRefused(const base::DaemonId &daemon, const base::ServiceName &service, base::Time now) const
{
    const auto it = m_refusedUntil.find({daemon, service});
    return it != m_refusedUntil.end() && now < it->second;
}

std::set<base::DaemonId> PeerContact::daemonsWith(const base::ServiceName &service, base::Time now) const
{
    const auto it = m_contacts.find(service);
    if (it == m_contacts.end() || now >= m_validUntil) {
        return {};
    }
    return {it->second.daemonsWith.begin(), it->second.daemonsWith.end()};
}

std::size_t PeerContact::daemonsWithout(const base::ServiceName &service, base::Time now) const
{
    const auto it = m_contacts.find(service);
    return it == m_contacts.end() || now >= m_validUntil ? 0 : it->second.daemonsWithout;
}

std::set<base::ServiceName> PeerContact::services(base::Time now) const
{
    std::set<base::ServiceName> found;
    for (const auto &[service, contact] : m_contacts) {
        if (now < m_validUntil) {
            found.insert(service);
        }
    }
    return found;
}

void PeerContact::expire(base::Time now)
{
    std::erase_if(m_refusedUntil, [now](const auto &it) { return now >= it.second; });
}

} // namespace turmericplank::gateway
