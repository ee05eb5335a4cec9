#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

/// @brief Queries daemons for the addresses to use for a model and caches each answer until it expires.
class EntryFinder
{
public:
    using Hook = std::function<void(const std::vector<base::Address> &)>;

    /// @param context runs the hooks
    /// @param entries daemons to query, in turn
    EntryFinder(boost::asio::io_context &context, std::vector<base::Address> entries);

    /// @brief Finds the addresses for a model.
    /// @param model name of the model, empty for services
    /// @param hook receives the addresses; none if no daemon answered
    void find(const std::string &model, Hook hook);

    /// @brief Drops the cached answer for a model after one of its addresses failed.
    /// @param model name of the model
    void forget(const std::string &model);

private:
    struct Answer
    {
        std::vector<base::Address> addresses;
        base::Time useUntil{};
        std::vector<Hook> waiting; ///< hooks to call when the query in progress ends
    };

    void query(const std::string &model, std::size_t attempt);
    void parseAnswer(const std::string &model, const std::string &body);
    void notifyWaiting(const std::string &model);

    boost::asio::io_context &m_context;
    std::vector<base::Address> m_entries;
    std::size_t m_nextEntry = 0;
    std::map<std::string, Answer> m_answers;
};

} // namespace turmericplank::cli
