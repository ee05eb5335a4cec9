#include "turmericplank/gateway/backups.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

namespace {

BackupCandidate daemon(int number, const std::string &zone)
{
    return {base::DaemonId("front-" + std::to_string(number)), base::ZoneName(zone)};
}

std::vector<BackupCandidate> others(const std::vector<BackupCandidate> &all, const BackupCandidate &self)
{
    auto candidates = all;
    std::erase(candidates, self);
    return candidates;
}

} // namespace

TEST_CASE("a daemon has two backups, or as many as there are other daemons")
{
    const auto self = daemon(1, "a");
    CHECK(chooseBackups(self, {}).empty());
    CHECK(chooseBackups(self, {daemon(2, "a")}) == std::vector{daemon(2, "a").id});
    const auto two = chooseBackups(self, {daemon(2, "a"), daemon(3, "a")});
    CHECK(std::set(two.begin(), two.end()) == std::set{daemon(2, "a").id, daemon(3, "a").id});
    CHECK(chooseBackups(self, {daemon(2, "a"), daemon(3, "a"), daemon(4, "a")}).size() == 2);
}

TEST_CASE("one backup is in another zone if there is one")
{
    std::vector<BackupCandidate> all;
    for (int n = 0; n < 8; ++n) {
        all.push_back(daemon(n, n < 6 ? "a" : "b"));
    }
    for (const auto &self : all) {
        const auto backups = chooseBackups(self, others(all, self));
        const auto isRemote = [&](const auto &id) {
            return std::ranges::any_of(all, [&](const auto &it) { return it.id == id && it.zone != self.zone; });
        };
        CHECK(std::ranges::any_of(backups, isRemote));
    }
}

TEST_CASE("the order of the candidates does not matter, and one that goes changes only the choices that it was a part of")
{
    std::vector<BackupCandidate> all;
    for (int n = 0; n < 13; ++n) {
        all.push_back(daemon(n, "a"));
    }
    for (const auto &self : all) {
        auto candidates = others(all, self);
        const auto before = chooseBackups(self, candidates);
        std::ranges::reverse(candidates);
        CHECK(chooseBackups(self, candidates) == before);
        for (const auto &gone : others(all, self)) {
            const auto after = chooseBackups(self, others(candidates, gone));
            const bool wasChosen = std::ranges::find(before, gone.id) != before.end();
            CHECK((after != before) == wasChosen);
        }
    }
}

TEST_CASE("copies are spread over the daemons")
{
    std::vector<BackupCandidate> all;
    for (int n = 0; n < 100; ++n) {
        all.push_back(daemon(n, "a"));
    }
    std::map<base::DaemonId, int> kept;
    for (const auto &self : all) {
        for (const auto &it : chooseBackups(self, others(all, self))) {
            ++kept[it];
        }
    }
    for (const auto &[id, n] : kept) {
        CHECK(n <= 10);
    }
}
