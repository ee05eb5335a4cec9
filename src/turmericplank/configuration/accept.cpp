#include "turmericplank/configuration/accept.hpp"

#include <algorithm>

#include "documentloader.hpp"
#include "rows.hpp"

namespace turmericplank::configuration {

namespace {

constexpr base::Duration RetryInterval = std::chrono::milliseconds(200);
constexpr std::size_t MaxPendingRevisions = 8;

/// Which document to load: the draft, the newest accepted document or the one that the operator reviewed.
enum class DocumentSource { Draft, Newest, Expected };

} // namespace

class Accept::State
{
public:
    State(AcceptRequest request, ObjectLookup lookup, WriteRules rules)
        : m_request(std::move(request))
        , m_rules(std::move(rules))
        , m_loader(std::move(lookup))
        , m_writeTracker(m_request.token, m_rules)
    {
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
            return finishResolved(base::Revision(record.revision));
        case WriteOutcome::Unknown:
            return fail(StoreFailure::OutcomeUnknown);
        case WriteOutcome::NotApplied:
            return decide(now);
        }
        return decide(now);
    }

    StoreAction on(const ObjectsFetched &response, base::Time now)
    {
        if (!response.objects) {
            return fail(StoreFailure::Unavailable);
        }
        m_loader.add(m_requestedNames, *response.objects);
        return decide(now);
    }

    StoreAction on(const ObjectsPut &response, base::Time now)
    {
        return response.result ? write(now) : fail(StoreFailure::Unavailable);
    }

    StoreAction on(const RowsWritten &response, base::Time now)
    {
        if (response.result) {
            return finish(Accepted{m_entry.revision, m_entry.digest, m_entry.inForceFrom});
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
        return finish(tl::unexpected(AcceptError(isUnresolved ? StoreFailure::OutcomeUnknown : failure)));
    }

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

    bool isFinished() const
    {
        return m_isFinished;
    }

    const AcceptResult &result() const
    {
        return m_result;
    }

    const Pointer *pointer() const
    {
        return m_isFinished && m_result ? &m_pointer : nullptr;
    }

private:
    StoreAction finish(AcceptResult result)
    {
        m_result = std::move(result);
        m_isFinished = true;
        return Finished();
    }

    StoreAction retry(base::Time now)
    {
        return WaitUntil{now + RetryInterval};
    }

    StoreAction finishResolved(base::Revision revision)
    {
        m_pointer = m_rows.pointer;
        const auto &entries = m_rows.pointer.entries;
        const auto found = std::find_if(entries.begin(), entries.end(), [revision](const auto &it) { return it.revision == revision; });
        // Only superseded entries are dropped, so a revision without an entry came into force in the past.
        const auto inForceFrom = found == entries.end() ? base::Time() : found->inForceFrom;
        return finish(Accepted{revision, m_request.expectedDigest, inForceFrom});
    }

    /// Returns the next action needed to accept or reject the draft, based on the latest rows.
    StoreAction decide(base::Time now)
    {
        const auto current = documentObject(m_rows.draft.digests()).digest;
        if (!m_rules.isSameDraft(m_request.expectedDigest, current)) {
            return reportChangedDraft(current);
        }
        const auto *newest = newestEntry();
        if (newest != nullptr && newest->digest == current) {
            m_pointer = m_rows.pointer;
            return finish(Accepted{newest->revision, newest->digest, newest->inForceFrom, false});
        }
        if (const auto retryAt = tooManyPendingUntil(now)) {
            return finish(tl::unexpected(AcceptError(TooManyPending{*retryAt})));
        }
        DocumentSnapshot next;
        DocumentSnapshot previous;
        if (const auto action = load(DocumentSource::Draft, next)) {
            return *action;
        }
        if (const auto action = load(DocumentSource::Newest, previous)) {
            return *action;
        }
        auto errors = validate(*next.document, previous.document.get());
        if (!errors.empty()) {
            return finish(tl::unexpected(AcceptError(std::move(errors))));
        }
        return put(next, previous, current);
    }

    StoreAction reportChangedDraft(const std::string &current)
    {
        DocumentSnapshot draft;
        DocumentSnapshot expected;
        if (const auto action = load(DocumentSource::Draft, draft)) {
            return *action;
        }
        if (const auto action = load(DocumentSource::Expected, expected)) {
            return *action;
        }
        const auto isExpectedKnown = expected.document != nullptr;
        if (!isExpectedKnown) {
            if (const auto action = load(DocumentSource::Newest, expected)) {
                return *action;
            }
        }
        const Document none;
        const auto &before = expected.document ? *expected.document : none;
        return finish(tl::unexpected(AcceptError(DraftChanged{current, isExpectedKnown, differenceOf(before, *draft.document)})));
    }

    const PointerEntry *newestEntry() const
    {
        return m_rows.pointer.entries.empty() ? nullptr : &m_rows.pointer.entries.back();
    }

    std::optional<base::Time> tooManyPendingUntil(base::Time now) const
    {
        const auto &entries = m_rows.pointer.entries;
        const auto first = std::find_if(entries.begin(), entries.end(), [now](const auto &it) { return it.inForceFrom > now; });
        const auto count = static_cast<std::size_t>(entries.end() - first);
        return count < MaxPendingRevisions ? std::nullopt : std::optional(first->inForceFrom);
    }

    /// Loads a document. Returns an action if objects must be fetched first or loading failed. If it returns none, the
    /// snapshot is loaded, or left empty because there is no such document.
    std::optional<StoreAction> load(DocumentSource source, DocumentSnapshot &snapshot)
    {
        SectionDigests sections = m_rows.draft.digests();
        if (source == DocumentSource::Newest) {
            if (newestEntry() == nullptr) {
                return std::nullopt;
            }
            sections = newestEntry()->sections;
        } else if (source == DocumentSource::Expected) {
            const auto *list = m_loader.find(m_request.expectedDigest);
            if (list == nullptr) {
                return m_loader.isAbsent(m_request.expectedDigest) ? std::nullopt : std::optional(fetch({m_request.expectedDigest}));
            }
            sections = parseDocumentObject(*list).value_or(SectionDigests());
        }
        auto loaded = m_loader.load(sections);
        if (loaded) {
            snapshot = std::move(*loaded);
            return std::nullopt;
        }
        auto &names = loaded.error().names;
        return names.empty() ? fail(StoreFailure::Malformed) : fetch(std::move(names));
    }

    StoreAction fetch(std::vector<std::string> names)
    {
        m_requestedNames = names;
        return FetchObjects{std::move(names)};
    }

    /// Stores everything that changed as one object, so that a daemon needs a single fetch.
    StoreAction put(const DocumentSnapshot &next, const DocumentSnapshot &previous, const std::string &digest)
    {
        const auto *newest = newestEntry();
        m_entry = {.revision = m_rows.pointer.highest().next(), .digest = digest, .inForceFrom = {}, .sections = next.sections};
        if (newest == nullptr) {
            return PutObjects{};
        }
        std::vector<ContentObject> changed;
        for (const auto &[section, sectionDigest] : next.sections) {
            const auto old = previous.sections.find(section);
            if (old != previous.sections.end() && old->second == sectionDigest) {
                continue;
            }
            changed.push_back({sectionDigest, *m_loader.find(sectionDigest)});
            const auto known = old == previous.sections.end() ? std::vector<std::string>() : previous.pages.at(section);
            for (const auto &it : next.pages.at(section)) {
                if (std::find(known.begin(), known.end(), it) == known.end()) {
                    changed.push_back({it, *m_loader.find(it)});
                }
            }
        }
        return PutObjects{{{changeObjectName(newest->digest, digest), encodeObjects(changed)}}};
    }

    StoreAction write(base::Time now)
    {
        m_entry.inForceFrom = base::timeFromMilliseconds(base::toMilliseconds(now + m_request.activationDelay));
        m_pointer = appendEntry(m_rows.pointer, m_entry, now);
        m_entry = m_pointer.entries.back();
        const auto draft = nextDraft(m_rows.draft, m_request.token, m_entry.revision.value());
        m_writeTracker.writeSent(m_rows);
        return WriteRows{{{std::string(PointerKey), m_rules.writeCondition(m_rows.pointerVersion), encodePointer(m_pointer)},
                          {std::string(DraftKey), m_rules.writeCondition(m_rows.draftVersion), encodeDraft(draft)}}};
    }

    AcceptRequest m_request;
    WriteRules m_rules;
    DocumentLoader m_loader;
    WriteTracker m_writeTracker;
    Rows m_rows;
    PointerEntry m_entry;
    Pointer m_pointer; ///< as written, or as read back if the outcome had to be resolved
    std::vector<std::string> m_requestedNames;
    bool m_isFinished = false;
    AcceptResult m_result;
};

Accept::Accept(AcceptRequest request, ObjectLookup lookup, WriteRules rules)
    : m_state(std::make_unique<State>(std::move(request), std::move(lookup), std::move(rules)))
{
}

Accept::~Accept() = default;

StoreAction Accept::start()
{
    return ReadRows();
}

StoreAction Accept::handle(const StoreResponse &response, base::Time now)
{
    if (m_state->isFinished()) {
        return Finished();
    }
    auto action = std::visit([this, now](const auto &it) { return m_state->on(it, now); }, response);
    const auto mustEnd = !m_state->isFinished() && m_state->isPastDeadline(now);
    return mustEnd ? m_state->expireInsteadOf(action) : action;
}

StoreAction Accept::expire()
{
    return m_state->isFinished() ? StoreAction(Finished()) : m_state->fail(StoreFailure::Unavailable);
}

const AcceptResult &Accept::result() const
{
    return m_state->result();
}

const Pointer *Accept::pointer() const
{
    return m_state->pointer();
}

} // namespace turmericplank::configuration
