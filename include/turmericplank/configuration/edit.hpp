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

/// @brief A team's wish to replace its section.
struct EditRequest
{
    Section section = Section::Site;
    std::string text; ///< the section in TOML
    std::uint64_t seenRevision = 0; ///< revision of the section that the edit was made from, zero for none
    std::string author;
    std::string token; ///< unique per edit; a repeated request has the same one
    base::Time deadline; ///< when to give up

    friend bool operator==(const EditRequest &, const EditRequest &) = default;
};

/// @brief The edit stands in the draft.
struct EditDone
{
    std::uint64_t revision = 0; ///< new revision of the section
    std::string documentDigest; ///< digest of the draft that this edit made; empty if others have written since

    friend bool operator==(const EditDone &, const EditDone &) = default;
};

/// @brief Somebody else edited the section meanwhile; nothing was changed.
struct EditConflict
{
    std::uint64_t revision = 0; ///< present revision of the section
    std::string author; ///< of the present revision
    Difference difference; ///< what the edit would change now

    friend bool operator==(const EditConflict &, const EditConflict &) = default;
};

using EditError = std::variant<std::vector<ParseError>, EditConflict, StoreFailure>;
using EditResult = tl::expected<EditDone, EditError>;

/// @brief Puts one edit into the draft, conditional on the section's revision.
class Edit
{
public:
    /// @param request what to change
    /// @param lookup objects that the daemon holds
    /// @param rules conditions of the writes
    Edit(EditRequest request, ObjectLookup lookup, WriteRules rules = {});
    ~Edit();
    Edit(const Edit &) = delete;
    Edit &operator=(const Edit &) = delete;

    /// @brief The first step.
    StoreStep start();
    /// @brief The step after an answer.
    /// @param answer answer to the last step
    /// @param now the present
    StoreStep handle(const StoreAnswer &answer, base::Time now);
    /// @brief Ends the edit at its deadline, whatever step is under way.
    StoreStep expire();
    /// @brief What came of it, once Finished was returned.
    const EditResult &result() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
