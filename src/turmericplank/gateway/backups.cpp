#include "turmericplank/gateway/backups.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

#include <xxhash.h>

namespace turmericplank::gateway {

namespace {

std::uint64_t weight(const base::DaemonId &self, const base::DaemonId &candidate)
{
    const auto &text = candidate.text();
    return XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(self.text().data(), self.text().size()));
}

} // namespace

std::vector<base::DaemonId> chooseBackups(const BackupCandidate &self, std::vector<BackupCandidate> candidates)
{
    std::ranges::sort(candidates, std::greater(), [&self](const auto &it) { return std::pair(weight(self.id, it.id), it.id); });
    // The first one of another zone goes to the front, the others keep their order.
    const auto remote = std::ranges::find_if(candidates, [&self](const auto &it) { return it.zone != self.zone; });
    if (remote != candidates.end()) {
        std::rotate(candidates.begin(), remote, std::next(remote));
    }
    std::vector<base::DaemonId> chosen;
    for (std::size_t n = 0; n < std::min(candidates.size(), MaxBackups); ++n) {
        chosen.push_back(candidates[n].id);
    }
    return chosen;
}

} // namespace turmericplank::gateway
