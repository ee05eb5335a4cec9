#include "turmericplank/configuration/edit.hpp"

#include <set>

#include "documentloader.hpp"
#include "rows.hpp"

namespace turmericplank::configuration {

namespace {

constexpr base::Duration RetryInterval = std::chrono::milliseconds(200);

} // namespace

class Edit::State
{
public:
    State(EditRequest request, ObjectLookup lookup, WriteRules rules)
        : m_request(std::move(request))
        , m_rules(std::move(rules))
        , m_loader(std::move(lookup))
        , m_writeTracker(m_request.token, m_rules)
    {
    }

    StoreAction start()
    {
        auto parsed = parseSection(m_request.section, m_request.text);
        if (!parsed) {
            return finish(tl::unexpected(EditError(parsed.error())));
        }
        m_document = std::move(*parsed);
        m_objects = sectionObjects(m_document, m_request.section);
        return ReadRows();
    }

    StoreAction on(const RowsRead &response, base::Time now)
    {
        if (!response.rows) {
            return m_writeTracker.isUnresolved() ? retry(now) : fail(StoreFailure::Unavailable);
        }
        auto rows = parseRows(*response.rows);
        if (!rows) {
            return fail(StoreFailure::Malformed);
        }
        m_rows = std::move(*rows);
        WriteRecord record;
        switch (m_writeTracker.resolve(m_rows, record)) {
        case WriteOutcome::Applied:
            return finish(EditApplied{record.revision, record.sequence == m_rows.draft.sequence ? draftDigest() : ""});
        case WriteOutcome::Unknown:
            return fail(StoreFailure::OutcomeUnknown);
        case WriteOutcome::NotApplied:
            break;
        }
        m_isConflict = !m_rules.mayReplace(m_request.baseRevision, m_rows.draft.revisionOf(m_request.section));
        return loadCurrentSection();
    }

    StoreAction on(const ObjectsFetched &response, base::Time)
    {
        if (!response.objects) {
            return fail(StoreFailure::Unavailable);
        }
        m_loader.add(m_requestedNames, *response.objects);
        return loadCurrentSection();
    }

    StoreAction on(const ObjectsPut &response, base::Time)
    {
        return response.result ? write() : fail(StoreFailure::Unavailable);
    }

    StoreAction on(const RowsWritten &response, base::Time now)
    {
        if (response.result) {
            return finish(EditApplied{m_next.revisionOf(m_request.section), documentObject(m_next.digests()).digest});
        }
        switch (response.result.error().failure) {
        case store::TableFailure::Conflict:
            m_writeTracker.writeNotApplied();
            return ReadRows();
        case store::TableFailure::Unavailable:
            m_writeTracker.writeNotApplied();
            return m_writeTracker.isUnresolved() ? retry(now) : fail(StoreFailure::Unavailable);
        case store::TableFailure::Ambiguous:
            return ReadRows();
        }
        return ReadRows();
    }

    StoreAction on(const Waited &, base::Time)
    {
        return ReadRows();
    }

    StoreAction fail(StoreFailure failure)
    {
        const auto isUnresolved = m_writeTracker.isUnresolved() && failure == StoreFailure::Unavailable;
        return finish(tl::unexpected(EditError(isUnresolved ? StoreFailure::OutcomeUnknown : failure)));
    }

    /// Ends the operation at its deadline instead of taking the next action.
    StoreAction expireInsteadOf(const StoreAction &action)
    {
        if (std::holds_alternative<WriteRows>(action)) {
            m_writeTracker.writeNotApplied();
        }
        return fail(StoreFailure::Unavailable);
    }

    bool isPastDeadline(base::Time now) const
    {
        return now >= m_request.deadline;
    }

    const EditResult &result() const
    {
        return m_result;
    }

    bool isFinished() const
    {
        return m_isFinished;
    }

private:
    StoreAction finish(EditResult result)
    {
        m_result = std::move(result);
        m_isFinished = true;
        return Finished();
    }

    StoreAction retry(base::Time now)
    {
        return WaitUntil{now + RetryInterval};
    }

    std::string draftDigest() const
    {
        return documentObject(m_rows.draft.digests()).digest;
    }

    /// Loads as much of the current section as needed: its list of pages, or the whole section to show a conflict.
    StoreAction loadCurrentSection()
    {
        const auto found = m_rows.draft.sections.find(m_request.section);
        if (found == m_rows.draft.sections.end()) {
            return m_isConflict ? conflict(Document()) : put("");
        }
        const auto &digest = found->second.digest;
        if (!m_isConflict && digest == m_objects.digest) {
            return finish(EditApplied{found->second.revision, draftDigest()});
        }
        if (m_isConflict) {
            return loadConflictingSection(digest);
        }
        const auto *list = m_loader.find(digest);
        if (list == nullptr && !m_loader.isAbsent(digest)) {
            return fetch({digest});
        }
        return put(list == nullptr ? "" : *list);
    }

    StoreAction loadConflictingSection(const std::string &digest)
    {
        auto snapshot = m_loader.load({{m_request.section, digest}});
        if (snapshot) {
            return conflict(*snapshot->document);
        }
        return snapshot.error().names.empty() ? fail(StoreFailure::Malformed) : fetch(std::move(snapshot.error().names));
    }

    StoreAction fetch(std::vector<std::string> names)
    {
        m_requestedNames = names;
        return FetchObjects{std::move(names)};
    }

    StoreAction conflict(const Document &current)
    {
        EditConflict result;
        const auto found = m_rows.draft.sections.find(m_request.section);
        if (found != m_rows.draft.sections.end()) {
            result.revision = found->second.revision;
            result.author = found->second.author;
            result.difference = differenceOf(current, m_document, m_request.section);
        } else {
            result.difference = differenceOf(Document(), m_document, m_request.section);
        }
        return finish(tl::unexpected(EditError(std::move(result))));
    }

    /// Stores the objects that the current section does not have, and the list of all sections after this edit.
    StoreAction put(const std::string &currentPages)
    {
        const auto revision = m_rows.draft.revisionOf(m_request.section) + 1;
        m_next = nextDraft(m_rows.draft, m_request.token, revision);
        m_next.sections[m_request.section] = {revision, m_objects.digest, m_request.author};
        PutObjects action;
        const auto add = [&](const ContentObject &object) {
            if (m_putObjects.insert(object.digest).second) {
                action.objects.emplace(object.digest, object.bytes);
            }
        };
        for (const auto &it : m_objects.objects) {
            if (currentPages.find(it.digest) == std::string::npos) {
                add(it);
            }
        }
        add(documentObject(m_next.digests()));
        return action.objects.empty() ? write() : StoreAction(std::move(action));
    }

    StoreAction write()
    {
        m_writeTracker.writeSent(m_rows);
        return WriteRows{{{std::string(DraftKey), m_rules.writeCondition(m_rows.draftVersion), encodeDraft(m_next)}}};
    }

    EditRequest m_request;
    WriteRules m_rules;
    DocumentLoader m_loader;
    WriteTracker m_writeTracker;
    Document m_document;
    SectionObjects m_objects;
    Rows m_rows;
    Draft m_next;
    bool m_isConflict = false;
    bool m_isFinished = false;
    std::vector<std::string> m_requestedNames;
    std::set<std::string> m_putObjects;
    EditResult m_result;
};

Edit::Edit(EditRequest request, ObjectLookup lookup, WriteRules rules)
    : m_state(std::make_unique<State>(std::move(request), std::move(lookup), std::move(rules)))
{
}

Edit::~Edit() = default;

StoreAction Edit::start()
{
    return m_state->start();
}

StoreAction Edit::handle(const StoreResponse &response, base::Time now)
{
    if (m_state->isFinished()) {
        return Finished();
    }
    auto action = std::visit([this, now](const auto &it) { return m_state->on(it, now); }, response);
    const auto mustEnd = !m_state->isFinished() && m_state->isPastDeadline(now);
    return mustEnd ? m_state->expireInsteadOf(action) : action;
}

StoreAction Edit::expire()
{
    return m_state->isFinished() ? StoreAction(Finished()) : m_state->fail(StoreFailure::Unavailable);
}

const EditResult &Edit::result() const
{
    return m_state->result();
}

} // namespace turmericplank::configuration
