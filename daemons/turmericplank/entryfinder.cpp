#include "entryfinder.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::cli {

namespace {

constexpr base::Duration QueryTimeout = std::chrono::seconds(1);

} // namespace

EntryFinder::EntryFinder(boost::asio::io_context &context, std::vector<base::Address> entries)
    : m_context(context)
    , m_entries(std::move(entries))
{
}

void EntryFinder::find(const std::string &model, Hook hook)
{
    auto &answer = m_answers[model];
    if (!answer.addresses.empty() && base::now() < answer.useUntil) {
        hook(answer.addresses);
        return;
    }
    answer.waiting.push_back(std::move(hook));
    if (answer.waiting.size() == 1) {
        answer.addresses.clear();
        query(model, 0);
    }
}

void EntryFinder::forget(const std::string &model)
{
    m_answers[model].addresses.clear();
}

void EntryFinder::query(const std::string &model, std::size_t attempt)
{
    if (attempt >= m_entries.size()) {
        notifyWaiting(model);
        return;
    }
    net::HttpCallOptions options;
    options.to = m_entries[m_nextEntry++ % m_entries.size()];
    options.request = {"GET", model.empty() ? "/v1/entry" : "/v1/entry?model=" + model, {}, {}};
    options.responseHeaderTimeout = QueryTimeout;
    net::fetchResponse(m_context, std::move(options), [this, model, attempt](const auto &response) {
        if (response && response->status == 200) {
            parseAnswer(model, response->body);
        }
        if (m_answers[model].addresses.empty()) {
            query(model, attempt + 1);
        } else {
            notifyWaiting(model);
        }
    });
}

void EntryFinder::parseAnswer(const std::string &model, const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    auto &answer = m_answers[model];
    try {
        for (const auto &it : document.at("addresses")) {
            const auto address = base::parseAddress(it.get<std::string>());
            if (address) {
                answer.addresses.push_back(*address);
            }
        }
        answer.useUntil = base::timeFromMilliseconds(document.at("use_until").get<std::int64_t>());
    } catch (const nlohmann::json::exception &) {
        answer.addresses.clear();
    }
}

void EntryFinder::notifyWaiting(const std::string &model)
{
    auto &answer = m_answers[model];
    const auto waiting = std::move(answer.waiting);
    answer.waiting.clear();
    const auto addresses = answer.addresses;
    for (const auto &hook : waiting) {
        hook(addresses);
    }
}

} // namespace turmericplank::cli
