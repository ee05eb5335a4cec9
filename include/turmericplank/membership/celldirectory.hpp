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

/// @brief What a cell tells the others of itself: its part of the directory.
struct CellSummary
{
    base::CellName cell;
    std::string region;
    std::uint64_t sequence = 0; ///< grows with each summary of the cell
    std::vector<base::Address> entries; ///< peer addresses of some daemons that are live
    std::vector<base::ModelName> models; ///< models that it holds
    double load = 0; ///< share of its streams in use; above 1 requests wait

    friend bool operator==(const CellSummary &, const CellSummary &) = default;
};

/// @brief Why a request cannot be passed on to another cell.
enum class ForwardFailure {
    AlreadyForwarded, ///< it has made its one hop
    NoCell, ///< no other cell that is heard of holds the model
};

/// @brief Where a request is passed on to.
struct ForwardTarget
{
    base::CellName cell;
    base::Address address; ///< peer address of a daemon there

    friend bool operator==(const ForwardTarget &, const ForwardTarget &) = default;
};

/// @brief Limits of the directory of cells.
struct CellDirectoryOptions
{
    base::Duration lifetime = std::chrono::seconds(45); ///< a summary that is older is not used
    double otherRegionLoad = 0.5; ///< load that a cell of another region is taken to have on top
    /// Whether a request that was passed on once may be passed on again.
    std::function<bool(bool wasForwarded)> mayForward = [](bool wasForwarded) {
        return !wasForwarded;
    };
};

/// @brief Which cells hold which models, for requests that a cell does not route itself or has no room for.
class CellDirectory
{
public:
    /// @param cell the cell of this daemon
    /// @param region its region
    /// @param options limits
    CellDirectory(base::CellName cell, std::string region, CellDirectoryOptions options = {});

    /// @brief Takes a summary; an older one of the same cell is ignored.
    void noteSummary(const CellSummary &summary, base::Time now);

    /// @brief Where a request for a model is passed on to: the cell with least load, far regions last.
    /// @param model model that this cell does not hold, or has no room for
    /// @param wasForwarded whether another daemon passed the request on to this one
    /// @param now the present
    /// @param random spreads the requests over the cell's daemons
    tl::expected<ForwardTarget, ForwardFailure> forwardTarget(const base::ModelName &model, bool wasForwarded, base::Time now, std::mt19937_64 &random) const;

    /// @brief Whether some other cell would serve a model sooner than this one.
    /// @param model the model
    /// @param ownLoad load of this cell
    /// @param now the present
    bool isSpillWorthwhile(const base::ModelName &model, double ownLoad, base::Time now) const;

    /// @brief Number of models in the directory.
    std::size_t modelCount() const;

private:
    struct Known
    {
        CellSummary summary;
        base::Time heardAt;
    };

    double costOf(const Known &known) const;
    const Known *best(const base::ModelName &model, base::Time now) const;

    base::CellName m_cell;
    std::string m_region;
    CellDirectoryOptions m_options;
    std::map<base::CellName, Known> m_cells;
    std::unordered_map<base::ModelName, std::vector<base::CellName>> m_holders;
};

} // namespace turmericplank::membership
