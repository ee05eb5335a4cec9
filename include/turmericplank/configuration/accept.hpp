#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/difference.hpp"
#include "turmericplank/configuration/pointer.hpp"
#include "turmericplank/configuration/rules.hpp"
#include "turmericplank/configuration/storeaction.hpp"
#include "turmericplank/configuration/validation.hpp"

namespace turmericplank::configuration {

/// @brief An operator's wish to put the draft in force.
struct AcceptRequest
{
    std::string seenDigest; ///< digest of the whole draft that the operator saw
    std::string token; ///< unique per acceptance; a repeated request has the same one
    base::Duration lead = std::chrono::seconds(5); ///< time that all daemons get to learn of it before they switch
    base::Time deadline; ///< when to give up

    friend bool operator==(const AcceptRequest &, const AcceptRequest &) = default;
};

/// @brief The draft was accepted.
struct Accepted
{
    base::Revision revision;
    std::string digest;
    base::Time inForceFrom;
    bool isNew = true; ///< false if the newest accepted document was this one already

    friend bool operator==(const Accepted &, const Accepted &) = default;
};

/// @brief The draft is not the one that was seen.
struct DraftChanged
{
    std::string currentDigest;
    bool isExpectedKnown = false; ///< whether the seen document is known, so that the difference is from it
    Difference difference; ///< from the seen document, or else from the newest accepted one, to the draft

    friend bool operator==(const DraftChanged &, const DraftChanged &) = default;
};

/// @brief Too many accepted revisions wait to be in force.
struct TooManyPending
{
    base::Time retryAt;

    friend bool operator==(const TooManyPending &, const TooManyPending &) = default;
};

using AcceptError = std::variant<DraftChanged, std::vector<ValidationError>, TooManyPending, StoreFailure>;
using AcceptResult = tl::expected<Accepted, AcceptError>;

/// @brief Accepts the draft: checks it whole and moves the pointer by one conditional write.
class Accept
{
public:
    /// @param request what was seen
    /// @param lookup objects that the daemon holds
    /// @param rules conditions of the writes
    Accept(AcceptRequest request, ObjectLookup lookup, WriteRules rules = {});
    ~Accept();
    Accept(const Accept &) = delete;
    Accept &operator=(const Accept &) = delete;

    /// @brief The first step.
    StoreStep start();
    /// @brief The step after an answer.
    /// @param answer answer to the last step
    /// @param now the present
    StoreStep handle(const StoreAnswer &answer, base::Time now);
    /// @brief Ends at the deadline, whatever step is under way.
    StoreStep expire();
    /// @brief What came of it, once Finished was returned.
    const AcceptResult &result() const;
    /// @brief The pointer as it stands after an acceptance that took effect, nullptr otherwise.
    const Pointer *pointer() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
