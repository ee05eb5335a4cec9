#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/difference.hpp"
#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/configuration/rules.hpp"
#include "turmericplank/configuration/storeaction.hpp"

namespace turmericplank::configuration {

/// @brief A team's request to replace its section.
struct EditRequest
{
    Section section = Section::Site;
    std::string text; ///< the section in TOML
    std::uint64_t baseRevision = 0; ///< revision of the section that the edit is based on, zero if there was none
    std::string author;
    std::string token; ///< unique per edit; a retry of the request repeats it
    base::Time deadline; ///< time at which the operation gives up

    friend bool operator==(const EditRequest &, const EditRequest &) = default;
};

/// @brief The edit is part of the draft.
struct EditApplied
{
    std::uint64_t revision = 0; ///< new revision of the section; the current one if the text changes nothing
    std::string documentDigest; ///< digest of the resulting draft; empty if the draft was written again since

    friend bool operator==(const EditApplied &, const EditApplied &) = default;
};

/// @brief The section was edited by someone else in the meantime; nothing was changed.
struct EditConflict
{
    std::uint64_t revision = 0; ///< current revision of the section
    std::string author; ///< author of the current revision
    Difference difference; ///< from the current section to the edited one

    friend bool operator==(const EditConflict &, const EditConflict &) = default;
};

using EditError = std::variant<std::vector<ParseError>, EditConflict, StoreFailure>;
using EditResult = tl::expected<EditApplied, EditError>;

/// @brief Operation that applies one edit to the draft if the section still has the revision that the edit is based on.
class Edit
{
public:
    /// @param request the edit
    /// @param lookup finds objects that the daemon already holds
    /// @param rules conditions of the writes, replaceable in tests
    Edit(EditRequest request, ObjectLookup lookup, WriteRules rules = {});
    ~Edit();
    Edit(const Edit &) = delete;
    Edit &operator=(const Edit &) = delete;

    /// @brief Returns the first action.
    StoreAction start();
    /// @brief Takes the response to the last action and returns the next action.
    /// @param response response to the last action
    /// @param now current time
    StoreAction handle(const StoreResponse &response, base::Time now);
    /// @brief Ends the operation at its deadline, whatever action is in progress.
    StoreAction expire();
    /// @brief Returns the result; valid once Finished was returned.
    const EditResult &result() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
