#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::membership {

/// @brief Summary that a cell publishes to the other cells for their directories.
struct CellSummary
{
    base::CellName cell;
    std::string region;
    std::uint64_t sequence = 0; ///< increases with each summary of the cell
    std::vector<base::Address> entries; ///< peer addresses of some live daemons
    std::vector<base::ModelName> models; ///< models that the cell holds
    double load = 0; ///< streams in use divided by stream capacity; above 1 requests are waiting

    friend bool operator==(const CellSummary &, const CellSummary &) = default;
};

/// @brief Why a request cannot be forwarded to another cell.
enum class ForwardFailure {
    AlreadyForwarded, ///< a request may be forwarded only once
    NoCell, ///< no other cell with a recent summary holds the model
};

/// @brief Destination of a forwarded request.
struct ForwardTarget
{
    base::CellName cell;
    base::Address address; ///< peer address of a daemon in that cell

    friend bool operator==(const ForwardTarget &, const ForwardTarget &) = default;
};

/// @brief Limits of the directory of cells.
struct CellDirectoryOptions
{
    base::Duration lifetime = std::chrono::seconds(45); ///< max age of a summary
    double otherRegionLoad = 0.5; ///< load added to cells in other regions when cells are compared
    /// Whether a request may be forwarded; replaceable so that a test can show what fails without the limit of one hop.
    std::function<bool(bool wasForwarded)> mayForward = [](bool wasForwarded) {
        return !wasForwarded;
    };
};

/// @brief Directory of the models held by other cells, for requests that this cell cannot or should not serve itself.
class CellDirectory
{
public:
    /// @param cell the cell of this daemon
    /// @param region region of that cell
    /// @param options limits
    CellDirectory(base::CellName cell, std::string region, CellDirectoryOptions options = {});

    /// @brief Records a summary; an older one than the last of the same cell is ignored.
    void noteSummary(const CellSummary &summary, base::Time now);

    /// @brief Chooses the cell with the lowest load that holds a model; cells in other regions count as more loaded.
    /// @param model model that this cell does not hold or has no capacity for
    /// @param wasForwarded whether the request was already forwarded once
    /// @param now current time
    /// @param random spreads requests over the daemons of the chosen cell
    tl::expected<ForwardTarget, ForwardFailure> forwardTarget(const base::ModelName &model, bool wasForwarded, base::Time now, std::mt19937_64 &random) const;

    /// @brief Whether another cell has enough less load than this one that forwarding is worthwhile.
    /// @param model model of the request
    /// @param ownLoad load of this cell
    /// @param now current time
    bool isSpillWorthwhile(const base::ModelName &model, double ownLoad, base::Time now) const;

    /// @brief Number of different models held by other cells.
    std::size_t modelCount() const;

private:
    struct KnownCell
    {
        CellSummary summary;
        base::Time heardAt;
    };

    double costOf(const KnownCell &known) const;
    const KnownCell *best(const base::ModelName &model, base::Time now) const;

    base::CellName m_cell;
    std::string m_region;
    CellDirectoryOptions m_options;
    std::map<base::CellName, KnownCell> m_cells;
    std::unordered_map<base::ModelName, std::vector<base::CellName>> m_holders;
};

} // namespace turmericplank::membership
