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

/// @brief The draft and the newest accepted document, from one point in time.
struct ViewResult
{
    Draft draft;
    std::string digest; ///< of the whole draft, to name on acceptance
    std::shared_ptr<const Document> document; ///< the draft's document
    Pointer pointer;
    std::shared_ptr<const Document> accepted; ///< newest accepted document, nullptr before the first

    /// @brief What an acceptance of the draft would change.
    Difference difference() const;
};

/// @brief Loads the draft and the newest accepted document for operators.
class View
{
public:
    /// @param lookup objects that the daemon holds
    explicit View(ObjectLookup lookup);
    ~View();
    View(const View &) = delete;
    View &operator=(const View &) = delete;

    /// @brief The first step.
    StoreStep start();
    /// @brief The step after an answer.
    /// @param answer answer to the last step
    /// @param now the present
    StoreStep handle(const StoreAnswer &answer, base::Time now);
    /// @brief Ends at the deadline, whatever step is under way.
    StoreStep expire();
    /// @brief What came of it, once Finished was returned.
    const tl::expected<ViewResult, StoreFailure> &result() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
