#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/difference.hpp"
#include "turmericplank/configuration/draft.hpp"
#include "turmericplank/configuration/pointer.hpp"
#include "turmericplank/configuration/storeaction.hpp"

namespace turmericplank::configuration {

/// @brief The draft and the newest accepted document, read at the same time.
struct ViewResult
{
    Draft draft;
    std::string digest; ///< digest of the whole draft, which an acceptance has to state
    std::shared_ptr<const Document> document; ///< the draft's document
    Pointer pointer;
    std::shared_ptr<const Document> accepted; ///< newest accepted document, `nullptr` if nothing was accepted yet

    /// @brief Returns what accepting the draft would change.
    Difference difference() const;
};

/// @brief Operation that loads the draft and the newest accepted document for operators.
class View
{
public:
    /// @param lookup finds objects that the daemon already holds
    explicit View(ObjectLookup lookup);
    ~View();
    View(const View &) = delete;
    View &operator=(const View &) = delete;

    /// @brief Returns the first action.
    StoreAction start();
    /// @brief Takes the response to the last action and returns the next action.
    /// @param response response to the last action
    /// @param now current time
    StoreAction handle(const StoreResponse &response, base::Time now);
    /// @brief Ends the operation at its deadline, whatever action is in progress.
    StoreAction expire();
    /// @brief Returns the result; valid once Finished was returned.
    const tl::expected<ViewResult, StoreFailure> &result() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
