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

    StoreStep handle(const StoreAnswer &answer)
    {
        if (const auto *read = std::get_if<RowsRead>(&answer)) {
            return onRows(*read);
        }
        if (const auto *fetched = std::get_if<ObjectsFetched>(&answer)) {
            if (!fetched->objects) {
                return fail(StoreFailure::Unavailable);
            }
            m_loader.add(m_asked, *fetched->objects);
            return load();
        }
        return fail(StoreFailure::Malformed);
    }

    StoreStep fail(StoreFailure failure)
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
    StoreStep onRows(const RowsRead &read)
    {
        if (!read.rows) {
            return fail(StoreFailure::Unavailable);
        }
        const auto rows = parseRows(*read.rows);
        if (!rows) {
            return fail(StoreFailure::Malformed);
        }
        m_view.draft = rows->draft;
        m_view.pointer = rows->pointer;
        m_view.digest = documentObject(rows->draft.digests()).digest;
        return load();
    }

    StoreStep load()
    {
        if (m_view.document == nullptr) {
            if (const auto step = loadOne(m_view.draft.digests(), m_view.document)) {
                return *step;
            }
        }
        if (m_view.accepted == nullptr && !m_view.pointer.entries.empty()) {
            if (const auto step = loadOne(m_view.pointer.entries.back().sections, m_view.accepted)) {
                return *step;
            }
        }
        m_result = std::move(m_view);
        m_isFinished = true;
        return Finished();
    }

    std::optional<StoreStep> loadOne(const SectionDigests &sections, std::shared_ptr<const Document> &document)
    {
        auto image = m_loader.load(sections);
        if (image) {
            document = image->document;
            return std::nullopt;
        }
        m_asked = image.error().names;
        return m_asked.empty() ? fail(StoreFailure::Malformed) : StoreStep(FetchObjects{m_asked});
    }

    Loader m_loader;
    ViewResult m_view;
    std::vector<std::string> m_asked;
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

StoreStep View::start()
{
    return ReadRows();
}

StoreStep View::handle(const StoreAnswer &answer, base::Time)
{
    return m_state->isFinished() ? StoreStep(Finished()) : m_state->handle(answer);
}

StoreStep View::expire()
{
    return m_state->isFinished() ? StoreStep(Finished()) : m_state->fail(StoreFailure::Unavailable);
}

const tl::expected<ViewResult, StoreFailure> &View::result() const
{
    return m_state->result();
}

} // namespace turmericplank::configuration
