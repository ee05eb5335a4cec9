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
        , m_settlement(m_request.token, m_rules)
    {
    }

    StoreStep start()
    {
        auto parsed = parseSection(m_request.section, m_request.text);
        if (!parsed) {
            return finish(tl::unexpected(EditError(parsed.error())));
        }
        m_document = std::move(*parsed);
        m_objects = sectionObjects(m_document, m_request.section);
        return ReadRows();
    }

    StoreStep on(const RowsRead &answer, base::Time now)
    {
        if (!answer.rows) {
            return m_settlement.isOpen() ? retry(now) : fail(StoreFailure::Unavailable);
        }
        auto rows = parseRows(*answer.rows);
        if (!rows) {
            return fail(StoreFailure::Malformed);
        }
        m_rows = std::move(*rows);
        WriteRecord record;
        switch (m_settlement.trace(m_rows, record)) {
        case WriteTrace::Effective:
            return finish(EditDone{record.revision, record.sequence == m_rows.draft.sequence ? draftDigest() : ""});
        case WriteTrace::Forgotten:
            return fail(StoreFailure::OutcomeUnknown);
        case WriteTrace::Absent:
            break;
        }
        m_isConflict = !m_rules.mayReplace(m_request.seenRevision, m_rows.draft.revisionOf(m_request.section));
        return loadPresent();
    }

    StoreStep on(const ObjectsFetched &answer, base::Time)
    {
        if (!answer.objects) {
            return fail(StoreFailure::Unavailable);
        }
        m_loader.add(m_asked, *answer.objects);
        return loadPresent();
    }

    StoreStep on(const ObjectsPut &answer, base::Time)
    {
        return answer.result ? write() : fail(StoreFailure::Unavailable);
    }

    StoreStep on(const RowsWritten &answer, base::Time now)
    {
        if (answer.result) {
            return finish(EditDone{m_next.revisionOf(m_request.section), documentObject(m_next.digests()).digest});
        }
        switch (answer.result.error().failure) {
        case store::TableFailure::Conflict:
            m_settlement.refuse();
            return ReadRows();
        case store::TableFailure::Unavailable:
            m_settlement.refuse();
            return m_settlement.isOpen() ? retry(now) : fail(StoreFailure::Unavailable);
        case store::TableFailure::Ambiguous:
            return ReadRows();
        }
        return ReadRows();
    }

    StoreStep on(const Waited &, base::Time)
    {
        return ReadRows();
    }

    StoreStep fail(StoreFailure failure)
    {
        const auto isOpen = m_settlement.isOpen() && failure == StoreFailure::Unavailable;
        return finish(tl::unexpected(EditError(isOpen ? StoreFailure::OutcomeUnknown : failure)));
    }

    /// Ends instead of taking a step.
    StoreStep abandon(const StoreStep &step)
    {
        if (std::holds_alternative<WriteRows>(step)) {
            m_settlement.refuse();
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
    StoreStep finish(EditResult result)
    {
        m_result = std::move(result);
        m_isFinished = true;
        return Finished();
    }

    StoreStep retry(base::Time now)
    {
        return WaitUntil{now + RetryInterval};
    }

    std::string draftDigest() const
    {
        return documentObject(m_rows.draft.digests()).digest;
    }

    /// Loads as much of the present section as the next step needs: the list of its pages, or all of it to show a conflict.
    StoreStep loadPresent()
    {
        const auto found = m_rows.draft.sections.find(m_request.section);
        if (found == m_rows.draft.sections.end()) {
            return m_isConflict ? conflict(Document()) : put("");
        }
        const auto &digest = found->second.digest;
        if (!m_isConflict && digest == m_objects.digest) {
            return finish(EditDone{found->second.revision, draftDigest()});
        }
        if (m_isConflict) {
            return loadConflict(digest);
        }
        const auto *list = m_loader.find(digest);
        if (list == nullptr && !m_loader.isAbsent(digest)) {
            return fetch({digest});
        }
        return put(list == nullptr ? "" : *list);
    }

    StoreStep loadConflict(const std::string &digest)
    {
        auto image = m_loader.load({{m_request.section, digest}});
        if (image) {
            return conflict(*image->document);
        }
        return image.error().names.empty() ? fail(StoreFailure::Malformed) : fetch(std::move(image.error().names));
    }

    StoreStep fetch(std::vector<std::string> names)
    {
        m_asked = names;
        return FetchObjects{std::move(names)};
    }

    StoreStep conflict(const Document &present)
    {
        EditConflict result;
        const auto found = m_rows.draft.sections.find(m_request.section);
        if (found != m_rows.draft.sections.end()) {
            result.revision = found->second.revision;
            result.author = found->second.author;
            result.difference = differenceOf(present, m_document, m_request.section);
        } else {
            result.difference = differenceOf(Document(), m_document, m_request.section);
        }
        return finish(tl::unexpected(EditError(std::move(result))));
    }

    /// Puts the objects that the present section has not, and the list of the sections after this edit.
    StoreStep put(const std::string &presentList)
    {
        const auto revision = m_rows.draft.revisionOf(m_request.section) + 1;
        m_next = nextDraft(m_rows.draft, m_request.token, revision);
        m_next.sections[m_request.section] = {revision, m_objects.digest, m_request.author};
        PutObjects step;
        const auto add = [&](const ContentObject &object) {
            if (m_stored.insert(object.digest).second) {
                step.objects.emplace(object.digest, object.bytes);
            }
        };
        for (const auto &it : m_objects.objects) {
            if (presentList.find(it.digest) == std::string::npos) {
                add(it);
            }
        }
        add(documentObject(m_next.digests()));
        return step.objects.empty() ? write() : StoreStep(std::move(step));
    }

    StoreStep write()
    {
        m_settlement.begin(m_rows);
        return WriteRows{{{std::string(DraftKey), m_rules.condition(m_rows.draftVersion), encodeDraft(m_next)}}};
    }

    EditRequest m_request;
    WriteRules m_rules;
    Loader m_loader;
    Settlement m_settlement;
    Document m_document;
    SectionObjects m_objects;
    Rows m_rows;
    Draft m_next;
    bool m_isConflict = false;
    bool m_isFinished = false;
    std::vector<std::string> m_asked;
    std::set<std::string> m_stored;
    EditResult m_result;
};

Edit::Edit(EditRequest request, ObjectLookup lookup, WriteRules rules)
    : m_state(std::make_unique<State>(std::move(request), std::move(lookup), std::move(rules)))
{
}

Edit::~Edit() = default;

StoreStep Edit::start()
{
    return m_state->start();
}

StoreStep Edit::handle(const StoreAnswer &answer, base::Time now)
{
    if (m_state->isFinished()) {
        return Finished();
    }
    auto step = std::visit([this, now](const auto &it) { return m_state->on(it, now); }, answer);
    const auto mustEnd = !m_state->isFinished() && m_state->isPastDeadline(now);
    return mustEnd ? m_state->abandon(step) : step;
}

StoreStep Edit::expire()
{
    return m_state->isFinished() ? StoreStep(Finished()) : m_state->fail(StoreFailure::Unavailable);
}

const EditResult &Edit::result() const
{
    return m_state->result();
}

} // namespace turmericplank::configuration
