#include "turmericplank/membership/celldirectory.hpp"

#include <algorithm>

namespace turmericplank::membership {

namespace {

constexpr double SpillMargin = 0.2; ///< the load of another cell must be lower by this, because its caches do not hold the prompt yet

} // namespace

CellDirectory::CellDirectory(base::CellName cell, std::string region, CellDirectoryOptions options)
    : m_cell(std::move(cell))
    , m_region(std::move(region))
    , m_options(std::move(options))
{
}

void CellDirectory::noteSummary(const CellSummary &summary, base::Time now)
{
    if (summary.cell == m_cell) {
        return;
    }
    auto &known = m_cells[summary.cell];
    if (summary.sequence < known.summary.sequence) {
        return;
    }
    known.heardAt = summary.sequence > known.summary.sequence ? now : known.heardAt;
    if (summary.models != known.summary.models) {
        for (const auto &it : known.summary.models) {
            std::erase(m_holders[it], summary.cell);
            if (m_holders[it].empty()) {
                m_holders.erase(it);
            }
        }
        for (const auto &it : summary.models) {
            m_holders[it].push_back(summary.cell);
        }
    }
    known.summary = summary;
}

double CellDirectory::costOf(const KnownCell &known) const
{
    return known.summary.load + (known.summary.region == m_region ? 0 : m_options.otherRegionLoad);
}

const CellDirectory::KnownCell *CellDirectory::best(const base::ModelName &model, base::Time now) const
{
    const auto holders = m_holders.find(model);
    if (holders == m_holders.end()) {
        return nullptr;
    }
    const KnownCell *best = nullptr;
    for (const auto &it : holders->second) {
        const auto &known = m_cells.at(it);
        const bool isUsable = now < known.heardAt + m_options.lifetime && !known.summary.entries.empty();
        if (isUsable && (best == nullptr || costOf(known) < costOf(*best))) {
            best = &known;
        }
    }
    return best;
}

tl::expected<ForwardTarget, ForwardFailure> CellDirectory::forwardTarget(const base::ModelName &model, bool wasForwarded, base::Time now,
                                                                         std::mt19937_64 &random) const
{
    if (!m_options.mayForward(wasForwarded)) {
        return tl::unexpected(ForwardFailure::AlreadyForwarded);
    }
    const auto *known = best(model, now);
    if (known == nullptr) {
        return tl::unexpected(ForwardFailure::NoCell);
    }
    const auto &entries = known->summary.entries;
    return ForwardTarget{known->summary.cell, entries[random() % entries.size()]};
}

bool CellDirectory::isSpillWorthwhile(const base::ModelName &model, double ownLoad, base::Time now) const
{
    const auto *known = best(model, now);
    return known != nullptr && costOf(*known) + SpillMargin < ownLoad;
}

std::size_t CellDirectory::modelCount() const
{
    return m_holders.size();
}

} // namespace turmericplank::membership
