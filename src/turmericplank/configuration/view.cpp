#include "turmericplank/configuration/view.hpp"

#include "documentloader.hpp"
#include "rows.hpp"

namespace turmericplank::configuration {

class View::State
{
public:
    explicit State(ObjectLookup lookup)
        : m_loader(std::move(lookup))
    {
    }

    StoreAction handle(const StoreResponse &response)
    {
        if (const auto *read = std::get_if<RowsRead>(&response)) {
            return onRows(*read);
        }
        if (const auto *fetched = std::get_if<ObjectsFetched>(&response)) {
            if (!fetched->objects) {
                return fail(StoreFailure::Unavailable);
            }
            m_loader.add(m_requestedNames, *fetched->objects);
            return load();
        }
        return fail(StoreFailure::Malformed);
    }

    StoreAction fail(StoreFailure failure)
    {
        m_result = tl::unexpected(failure);
        m_isFinished = true;
        return Finished();
    }

    bool isFinished() const
    {
        return m_isFinished;
    }

    const tl::expected<ViewResult, StoreFailure> &result() const
    {
        return m_result;
    }

private:
    StoreAction onRows(const RowsRead &read)
    {
        if (!read.rows) {
            return fail(StoreFailure::Unavailable);
        }
        const auto rows = parseRows(*read.rows);
        if (!rows) {
            return fail(StoreFailure::Malformed);
        }
        m_viewResult.draft = rows->draft;
        m_viewResult.pointer = rows->pointer;
        m_viewResult.digest = documentObject(rows->draft.digests()).digest;
        return load();
    }

    StoreAction load()
    {
        if (m_viewResult.document == nullptr) {
            if (const auto action = loadDocument(m_viewResult.draft.digests(), m_viewResult.document)) {
                return *action;
            }
        }
        if (m_viewResult.accepted == nullptr && !m_viewResult.pointer.entries.empty()) {
            if (const auto action = loadDocument(m_viewResult.pointer.entries.back().sections, m_viewResult.accepted)) {
                return *action;
            }
        }
        m_result = std::move(m_viewResult);
        m_isFinished = true;
        return Finished();
    }

    std::optional<StoreAction> loadDocument(const SectionDigests &sections, std::shared_ptr<const Document> &document)
    {
        auto snapshot = m_loader.load(sections);
        if (snapshot) {
            document = snapshot->document;
            return std::nullopt;
        }
        m_requestedNames = snapshot.error().names;
        return m_requestedNames.empty() ? fail(StoreFailure::Malformed) : StoreAction(FetchObjects{m_requestedNames});
    }

    DocumentLoader m_loader;
    ViewResult m_viewResult;
    std::vector<std::string> m_requestedNames;
    bool m_isFinished = false;
    tl::expected<ViewResult, StoreFailure> m_result;
};

Difference ViewResult::difference() const
{
    static const Document nothing;
    return differenceOf(accepted ? *accepted : nothing, document ? *document : nothing);
}

View::View(ObjectLookup lookup)
    : m_state(std::make_unique<State>(std::move(lookup)))
{
}

View::~View() = default;

StoreAction View::start()
{
    return ReadRows();
}

StoreAction View::handle(const StoreResponse &response, base::Time)
{
    return m_state->isFinished() ? StoreAction(Finished()) : m_state->handle(response);
}

StoreAction View::expire()
{
    return m_state->isFinished() ? StoreAction(Finished()) : m_state->fail(StoreFailure::Unavailable);
}

const tl::expected<ViewResult, StoreFailure> &View::result() const
{
    return m_state->result();
}

} // namespace turmericplank::configuration
