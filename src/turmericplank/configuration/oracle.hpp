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

/// @brief Kinds of violations of what editing, acceptance and activation guarantee.
enum class Violation {
    LostEdit, ///< an edit replaced a section's revision without being based on it
    UnseenEdit, ///< the accepted document is not the one that the operator reviewed
    WrongOrder, ///< accepted revisions are not consecutive, or one comes into force before its predecessor
    WrongAnswer, ///< an operator was told a wrong outcome, or a request was applied twice
    Reverted, ///< a daemon switched to a lower or the same revision
    WrongDocument, ///< a daemon serves a document that differs from the accepted one
    StaleAdmission, ///< a daemon admitted a request under a superseded revision although it knew, or had had time to learn, of the new one
};

/// @brief Compares what daemons do and what operators are told with the actual writes of the table.
class Oracle
{
public:
    /// @brief Request of an operator, identified by its token.
    struct Request
    {
        std::uint64_t baseRevision = 0;
        std::string expectedDigest;
        int timesApplied = 0;
        bool isRejected = false; ///< the operator was told that nothing was changed
        bool isConfirmed = false; ///< the operator was told that the change was applied
    };

    std::map<std::string, Request> requests; ///< by token
    std::map<base::Revision, PointerEntry> accepted;
    std::map<base::Revision, base::Time> writtenAt;
    std::set<Violation> violations;
    std::map<Violation, std::uint64_t> counts; ///< how often each violation occurred

    /// @brief A write was applied to the table.
    void written(const FakeStore::Rows &before, const FakeStore::Rows &after, base::Time now)
    {
        const auto oldDraft = draftOf(before);
        const auto newDraft = draftOf(after);
        const auto oldPointer = pointerOf(before);
        const auto newPointer = pointerOf(after);
        auto &request = requests[newDraft.recent.empty() ? "" : newDraft.recent.back().token];
        request.timesApplied += 1;
        expect(request.timesApplied == 1 && !request.isRejected, Violation::WrongAnswer);
        if (oldPointer == newPointer) {
            checkEdit(oldDraft, newDraft, request);
        } else {
            checkAcceptance(oldDraft, oldPointer, newPointer, request);
            accepted[newPointer.highest()] = newPointer.entries.back();
            writtenAt[newPointer.highest()] = now;
        }
    }

    /// @brief An operator got a response.
    /// @param isInconclusive whether the response does not show if the request was applied
    void answered(const std::string &token, bool isConfirmed, bool isInconclusive)
    {
        auto &request = requests[token];
        if (isInconclusive) {
            return;
        }
        request.isConfirmed = isConfirmed;
        request.isRejected = !isConfirmed;
        expect(request.timesApplied == (isConfirmed ? 1 : 0), Violation::WrongAnswer);
    }

    /// @brief A daemon switched to another revision.
    void switched(base::Revision from, const ActiveConfiguration &to)
    {
        expect(to.revision > from, Violation::Reverted);
        const auto found = accepted.find(to.revision);
        ObjectCache cache;
        const auto isSame = found != accepted.end() && documentObject(splitDocument(*to.document, cache)).digest == found->second.digest;
        expect(isSame, Violation::WrongDocument);
    }

    /// @brief A daemon admitted a request under a revision.
    /// @param highestNotified newest revision that the daemon had been notified of
    void admitted(base::Revision under, base::Revision highestNotified, base::Time now)
    {
        const auto next = accepted.upper_bound(under);
        const auto isStale = next != accepted.end() && next->first <= highestNotified && next->second.inForceFrom <= now;
        expect(!isStale, Violation::StaleAdmission);
    }

    /// @brief A daemon admitted a request when there had been no fault for MaxActivationTime.
    void admittedHealthy(base::Revision under, base::Time now)
    {
        const auto next = accepted.upper_bound(under);
        const auto isStale = next != accepted.end() && next->second.inForceFrom <= now && writtenAt[next->first] + MaxActivationTime <= now;
        expect(!isStale, Violation::StaleAdmission);
    }

    /// Required upper bound on the time from acceptance until a revision is in force on all daemons.
    static constexpr base::Duration MaxActivationTime = std::chrono::seconds(8);

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
    void expect(bool holds, Violation violation)
    {
        if (!holds) {
            violations.insert(violation);
            counts[violation] += 1;
        }
    }

    void checkEdit(const Draft &before, const Draft &after, const Request &request)
    {
        for (const auto section : AllSections) {
            const auto old = before.sections.find(section);
            const auto changed = after.sections.find(section);
            if (changed == after.sections.end() || (old != before.sections.end() && old->second == changed->second)) {
                expect(before.revisionOf(section) == after.revisionOf(section), Violation::LostEdit);
                continue;
            }
            expect(request.baseRevision == before.revisionOf(section), Violation::LostEdit);
            expect(changed->second.revision == request.baseRevision + 1, Violation::LostEdit);
        }
    }

    void checkAcceptance(const Draft &draft, const Pointer &before, const Pointer &after, const Request &request)
    {
        const auto &entry = after.entries.back();
        expect(entry.revision == before.highest().next() && !accepted.contains(entry.revision), Violation::WrongOrder);
        expect(before.entries.empty() || entry.inForceFrom >= before.entries.back().inForceFrom, Violation::WrongOrder);
        expect(entry.digest == request.expectedDigest, Violation::UnseenEdit);
        expect(entry.digest == documentObject(entry.sections).digest, Violation::UnseenEdit);
        expect(entry.sections == draft.digests(), Violation::UnseenEdit);
    }
};

} // namespace turmericplank::configuration
