#include "turmericplank/gateway/entryanswer.hpp"

namespace turmericplank::gateway {

std::vector<base::Address> chooseEntries(const EntryQuestion &question, const std::vector<Entry> &entries, std::size_t least)
{
    std::vector<base::Address> near;
    std::vector<base::Address> all;
    for (const auto &it : entries) {
        all.push_back(it.callers);
        if (it.zone == question.zone) {
            near.push_back(it.callers);
        }
    }
    return near.size() >= least ? near : all;
}

} // namespace turmericplank::gateway
