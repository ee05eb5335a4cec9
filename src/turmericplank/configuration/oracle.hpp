#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/accept.hpp"
#include "turmericplank/configuration/activation.hpp"
#include "turmericplank/configuration/draft.hpp"
#include "turmericplank/configuration/edit.hpp"
#include "turmericplank/configuration/pointer.hpp"

#include "fakestore.hpp"

namespace turmericplank::configuration {

/// @brief Promises of the slice, as the oracle names their breaches.
enum class Violation {
    LostEdit, ///< a section was replaced by somebody who had not seen it
    UnseenEdit, ///< a document was accepted that differs from the one named
    WrongOrder, ///< accepted revisions do not follow one another
    WrongAnswer, ///< an operator was told something that is not so
    Reverted, ///< a daemon went to a lower revision
    WrongDocument, ///< a daemon serves something else than what was accepted
    StaleAdmission, ///< a daemon admitted under an old revision though it had heard of the new one
};

/// @brief Watches the truth of the table and what daemons and operators make of it.
class Oracle
{
public:
    /// @brief What an operator asked for, by its token.
    struct Wish
    {
        std::uint64_t seenRevision = 0;
        std::string seenDigest;
        int effects = 0;
        bool isDenied = false; ///< it was told that nothing was done
        bool isGranted = false;
    };

    std::map<std::string, Wish> wishes;
    std::map<base::Revision, PointerEntry> accepted;
    std::map<base::Revision, base::Time> writtenAt;
    std::set<Violation> breaches;
    std::map<Violation, std::uint64_t> counts; ///< how often each promise was broken

    void written(const FakeStore::Rows &before, const FakeStore::Rows &after, base::Time now)
    {
        const auto oldDraft = draftOf(before);
        const auto newDraft = draftOf(after);
        const auto oldPointer = pointerOf(before);
        const auto newPointer = pointerOf(after);
        auto &wish = wishes[newDraft.recent.empty() ? "" : newDraft.recent.back().token];
        wish.effects += 1;
        expect(wish.effects == 1 && !wish.isDenied, Violation::WrongAnswer);
        if (oldPointer == newPointer) {
            checkEdit(oldDraft, newDraft, wish);
        } else {
            checkAcceptance(oldDraft, oldPointer, newPointer, wish);
            accepted[newPointer.highest()] = newPointer.entries.back();
            writtenAt[newPointer.highest()] = now;
        }
    }

    /// @brief An operator got an answer.
    void answered(const std::string &token, bool isGranted, bool isUnsettled)
    {
        auto &wish = wishes[token];
        if (isUnsettled) {
            return;
        }
        wish.isGranted = isGranted;
        wish.isDenied = !isGranted;
        expect(wish.effects == (isGranted ? 1 : 0), Violation::WrongAnswer);
    }

    /// @brief A daemon switched.
    void switched(base::Revision from, const ActiveConfiguration &to)
    {
        expect(to.revision > from, Violation::Reverted);
        const auto found = accepted.find(to.revision);
        ObjectCache cache;
        const auto isSame = found != accepted.end() && documentObject(splitDocument(*to.document, cache)).digest == found->second.digest;
        expect(isSame, Violation::WrongDocument);
    }

    /// @brief A daemon admitted a request at a time, having heard of a revision before.
    void admitted(base::Revision under, base::Revision heardOf, base::Time now)
    {
        const auto next = accepted.upper_bound(under);
        const auto isOld = next != accepted.end() && next->first <= heardOf && next->second.inForceFrom <= now;
        expect(!isOld, Violation::StaleAdmission);
    }

    /// @brief A daemon without any fault for long admitted a request.
    void admittedHealthy(base::Revision under, base::Time now)
    {
        const auto next = accepted.upper_bound(under);
        const auto isOld = next != accepted.end() && next->second.inForceFrom <= now && writtenAt[next->first] + LongestActivation <= now;
        expect(!isOld, Violation::StaleAdmission);
    }

    /// Bound from the stated target on the time from acceptance until it is in force everywhere.
    static constexpr base::Duration LongestActivation = std::chrono::seconds(8);

    static Draft draftOf(const FakeStore::Rows &rows)
    {
        const auto found = rows.find(std::string(DraftKey));
        return found == rows.end() ? Draft() : decodeDraft(found->second.value).value();
    }

    static Pointer pointerOf(const FakeStore::Rows &rows)
    {
        const auto found = rows.find(std::string(PointerKey));
        return found == rows.end() ? Pointer() : decodePointer(found->second.value).value();
    }

private:
    void expect(bool isKept, Violation breach)
    {
        if (!isKept) {
            breaches.insert(breach);
            counts[breach] += 1;
        }
    }

    void checkEdit(const Draft &before, const Draft &after, const Wish &wish)
    {
        for (const auto section : AllSections) {
            const auto old = before.sections.find(section);
            const auto changed = after.sections.find(section);
            if (changed == after.sections.end() || (old != before.sections.end() && old->second == changed->second)) {
                expect(before.revisionOf(section) == after.revisionOf(section), Violation::LostEdit);
                continue;
            }
            expect(wish.seenRevision == before.revisionOf(section), Violation::LostEdit);
            expect(changed->second.revision == wish.seenRevision + 1, Violation::LostEdit);
        }
    }

    void checkAcceptance(const Draft &draft, const Pointer &before, const Pointer &after, const Wish &wish)
    {
        const auto &entry = after.entries.back();
        expect(entry.revision == before.highest().next() && !accepted.contains(entry.revision), Violation::WrongOrder);
        expect(before.entries.empty() || entry.inForceFrom >= before.entries.back().inForceFrom, Violation::WrongOrder);
        expect(entry.digest == wish.seenDigest, Violation::UnseenEdit);
        expect(entry.digest == documentObject(entry.sections).digest, Violation::UnseenEdit);
        expect(entry.sections == draft.digests(), Violation::UnseenEdit);
    }
};

} // namespace turmericplank::configuration
