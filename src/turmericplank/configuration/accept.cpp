#include "turmericplank/configuration/accept.hpp"

#include <algorithm>

#include "documentloader.hpp"
#include "rows.hpp"

namespace turmericplank::configuration {

namespace {

constexpr base::Duration RetryInterval = std::chrono::milliseconds(200);
constexpr std::size_t LargestPending = 8;

/// Content of one document that is needed to decide.
enum class Wanted { Draft, Newest, Seen };

} // namespace

class Accept::State
{
public:
    State(AcceptRequest request, ObjectLookup lookup, WriteRules rules)
        : m_request(std::move(request))
        , m_rules(std::move(rules))
        , m_loader(std::move(lookup))
        , m_settlement(m_request.token, m_rules)
    {
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
            return finishSettled(base::Revision(record.revision));
        case WriteTrace::Forgotten:
            return fail(StoreFailure::OutcomeUnknown);
        case WriteTrace::Absent:
            return decide(now);
        }
        return decide(now);
    }

    StoreStep on(const ObjectsFetched &answer, base::Time now)
    {
        if (!answer.objects) {
            return fail(StoreFailure::Unavailable);
        }
        m_loader.add(m_asked, *answer.objects);
        return decide(now);
    }

    StoreStep on(const ObjectsPut &answer, base::Time now)
    {
        return answer.result ? write(now) : fail(StoreFailure::Unavailable);
    }

    StoreStep on(const RowsWritten &answer, base::Time now)
    {
        if (answer.result) {
            return finish(Accepted{m_entry.revision, m_entry.digest, m_entry.inForceFrom});
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
        return finish(tl::unexpected(AcceptError(isOpen ? StoreFailure::OutcomeUnknown : failure)));
    }

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
    StoreStep finish(AcceptResult result)
    {
        m_result = std::move(result);
        m_isFinished = true;
        return Finished();
    }

    StoreStep retry(base::Time now)
    {
        return WaitUntil{now + RetryInterval};
    }

    StoreStep finishSettled(base::Revision revision)
    {
        m_pointer = m_rows.pointer;
        const auto &entries = m_rows.pointer.entries;
        const auto found = std::find_if(entries.begin(), entries.end(), [revision](const auto &it) { return it.revision == revision; });
        // An entry that is gone was superseded, so it has been in force since its time.
        const auto inForceFrom = found == entries.end() ? base::Time() : found->inForceFrom;
        return finish(Accepted{revision, m_request.seenDigest, inForceFrom});
    }

    /// Takes the next step towards a decision on the rows that were read last.
    StoreStep decide(base::Time now)
    {
        const auto current = documentObject(m_rows.draft.digests()).digest;
        if (!m_rules.isSame(m_request.seenDigest, current)) {
            return decideMoved(current);
        }
        const auto *newest = newestEntry();
        if (newest != nullptr && newest->digest == current) {
            m_pointer = m_rows.pointer;
            return finish(Accepted{newest->revision, newest->digest, newest->inForceFrom, false});
        }
        if (const auto busy = pendingUntil(now)) {
            return finish(tl::unexpected(AcceptError(TooManyPending{*busy})));
        }
        Image next;
        Image previous;
        if (const auto step = load(Wanted::Draft, next)) {
            return *step;
        }
        if (const auto step = load(Wanted::Newest, previous)) {
            return *step;
        }
        auto refusals = validate(*next.document, previous.document.get());
        if (!refusals.empty()) {
            return finish(tl::unexpected(AcceptError(std::move(refusals))));
        }
        return put(next, previous, current);
    }

    StoreStep decideMoved(const std::string &current)
    {
        Image draft;
        Image seen;
        if (const auto step = load(Wanted::Draft, draft)) {
            return *step;
        }
        if (const auto step = load(Wanted::Seen, seen)) {
            return *step;
        }
        const auto isExpectedKnown = seen.document != nullptr;
        if (!isExpectedKnown) {
            if (const auto step = load(Wanted::Newest, seen)) {
                return *step;
            }
        }
        const Document none;
        const auto &before = seen.document ? *seen.document : none;
        return finish(tl::unexpected(AcceptError(DraftChanged{current, isExpectedKnown, differenceOf(before, *draft.document)})));
    }

    const PointerEntry *newestEntry() const
    {
        return m_rows.pointer.entries.empty() ? nullptr : &m_rows.pointer.entries.back();
    }

    std::optional<base::Time> pendingUntil(base::Time now) const
    {
        const auto &entries = m_rows.pointer.entries;
        const auto first = std::find_if(entries.begin(), entries.end(), [now](const auto &it) { return it.inForceFrom > now; });
        const auto count = static_cast<std::size_t>(entries.end() - first);
        return count < LargestPending ? std::nullopt : std::optional(first->inForceFrom);
    }

    /// Sections of a document; an empty optional if there is no such document, a step if it must be fetched first.
    std::optional<StoreStep> load(Wanted wanted, Image &image)
    {
        SectionDigests sections = m_rows.draft.digests();
        if (wanted == Wanted::Newest) {
            if (newestEntry() == nullptr) {
                return std::nullopt;
            }
            sections = newestEntry()->sections;
        } else if (wanted == Wanted::Seen) {
            const auto *list = m_loader.find(m_request.seenDigest);
            if (list == nullptr) {
                return m_loader.isAbsent(m_request.seenDigest) ? std::nullopt : std::optional(fetch({m_request.seenDigest}));
            }
            sections = parseDocumentObject(*list).value_or(SectionDigests());
        }
        auto loaded = m_loader.load(sections);
        if (loaded) {
            image = std::move(*loaded);
            return std::nullopt;
        }
        auto &names = loaded.error().names;
        return names.empty() ? fail(StoreFailure::Malformed) : fetch(std::move(names));
    }

    StoreStep fetch(std::vector<std::string> names)
    {
        m_asked = names;
        return FetchObjects{std::move(names)};
    }

    /// Puts what changed as one object, so that a daemon needs one fetch.
    StoreStep put(const Image &next, const Image &previous, const std::string &digest)
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
        return PutObjects{{{changeName(newest->digest, digest), encodeObjects(changed)}}};
    }

    StoreStep write(base::Time now)
    {
        m_entry.inForceFrom = base::timeFromMilliseconds(base::toMilliseconds(now + m_request.lead));
        m_pointer = withEntry(m_rows.pointer, m_entry, now);
        m_entry = m_pointer.entries.back();
        const auto draft = nextDraft(m_rows.draft, m_request.token, m_entry.revision.value());
        m_settlement.begin(m_rows);
        return WriteRows{{{std::string(PointerKey), m_rules.condition(m_rows.pointerVersion), encodePointer(m_pointer)},
                          {std::string(DraftKey), m_rules.condition(m_rows.draftVersion), encodeDraft(draft)}}};
    }

    AcceptRequest m_request;
    WriteRules m_rules;
    Loader m_loader;
    Settlement m_settlement;
    Rows m_rows;
    PointerEntry m_entry;
    Pointer m_pointer; ///< as written or, once settled, as read back
    std::vector<std::string> m_asked;
    bool m_isFinished = false;
    AcceptResult m_result;
};

Accept::Accept(AcceptRequest request, ObjectLookup lookup, WriteRules rules)
    : m_state(std::make_unique<State>(std::move(request), std::move(lookup), std::move(rules)))
{
}

Accept::~Accept() = default;

StoreStep Accept::start()
{
    return ReadRows();
}

StoreStep Accept::handle(const StoreAnswer &answer, base::Time now)
{
    if (m_state->isFinished()) {
        return Finished();
    }
    auto step = std::visit([this, now](const auto &it) { return m_state->on(it, now); }, answer);
    const auto mustEnd = !m_state->isFinished() && m_state->isPastDeadline(now);
    return mustEnd ? m_state->abandon(step) : step;
}

StoreStep Accept::expire()
{
    return m_state->isFinished() ? StoreStep(Finished()) : m_state->fail(StoreFailure::Unavailable);
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
