#include "turmericplank/gateway/entryselection.hpp"

namespace turmericplank::gateway {

std::vector<base::Address> selectEntries(const DirectoryQuery &query, const std::vector<EntryDaemon> &entries, std::size_t minInZone)
{
    std::vector<base::Address> inZone;
    std::vector<base::Address> all;
    for (const auto &it : entries) {
        all.push_back(it.callerAddress);
        if (it.zone == query.zone) {
            inZone.push_back(it.callerAddress);
        }
    }
    return inZone.size() >= minInZone ? inZone : all;
}

} // namespace turmericplank::gateway
