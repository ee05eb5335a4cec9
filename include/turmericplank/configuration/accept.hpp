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

/// @brief An operator's request to accept the draft and bring it into force.
struct AcceptRequest
{
    std::string expectedDigest; ///< digest of the whole draft that the operator reviewed
    std::string token; ///< unique per acceptance; a retry of the request repeats it
    base::Duration activationDelay = std::chrono::seconds(5); ///< time for all daemons to fetch the revision before they switch to it
    base::Time deadline; ///< time at which the operation gives up

    friend bool operator==(const AcceptRequest &, const AcceptRequest &) = default;
};

/// @brief The draft was accepted.
struct Accepted
{
    base::Revision revision;
    std::string digest;
    base::Time inForceFrom; ///< when it comes into force; the epoch if it was superseded before its acceptance could be confirmed
    bool isNew = true; ///< false if this document was already the newest accepted one

    friend bool operator==(const Accepted &, const Accepted &) = default;
};

/// @brief The draft is not the one that the operator reviewed.
struct DraftChanged
{
    std::string currentDigest;
    bool isExpectedKnown = false; ///< whether the reviewed document is available, so that the difference starts from it
    Difference difference; ///< from the reviewed document, or else from the newest accepted one, to the draft

    friend bool operator==(const DraftChanged &, const DraftChanged &) = default;
};

/// @brief Too many accepted revisions are not in force yet.
struct TooManyPending
{
    base::Time retryAt; ///< when the next pending revision comes into force

    friend bool operator==(const TooManyPending &, const TooManyPending &) = default;
};

using AcceptError = std::variant<DraftChanged, std::vector<ValidationError>, TooManyPending, StoreFailure>;
using AcceptResult = tl::expected<Accepted, AcceptError>;

/// @brief Operation that accepts the draft: validates the whole document and updates the pointer in one conditional write.
class Accept
{
public:
    /// @param request the acceptance
    /// @param lookup finds objects that the daemon already holds
    /// @param rules conditions of the writes, replaceable in tests
    Accept(AcceptRequest request, ObjectLookup lookup, WriteRules rules = {});
    ~Accept();
    Accept(const Accept &) = delete;
    Accept &operator=(const Accept &) = delete;

    /// @brief Returns the first action.
    StoreAction start();
    /// @brief Takes the response to the last action and returns the next action.
    /// @param response response to the last action
    /// @param now current time
    StoreAction handle(const StoreResponse &response, base::Time now);
    /// @brief Ends the operation at its deadline, whatever action is in progress.
    StoreAction expire();
    /// @brief Returns the result; valid once Finished was returned.
    const AcceptResult &result() const;
    /// @brief Returns the pointer after a successful acceptance, `nullptr` otherwise.
    const Pointer *pointer() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
