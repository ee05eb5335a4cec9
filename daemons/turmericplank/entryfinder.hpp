#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

/// @brief Asks the daemons which of them to use for a model and keeps each answer as long as it may be used.
class EntryFinder
{
public:
    using Hook = std::function<void(const std::vector<base::Address> &)>;

    /// @param context runs the hooks
    /// @param entries daemons to ask, tried in turn
    EntryFinder(boost::asio::io_context &context, std::vector<base::Address> entries);

    /// @brief Finds the addresses for a model.
    /// @param model name of the model, empty for services
    /// @param hook gets the addresses, none if no daemon answered
    void find(const std::string &model, Hook hook);

    /// @brief Forgets an answer whose address did not work.
    /// @param model name of the model
    void forget(const std::string &model);

private:
    struct Answer
    {
        std::vector<base::Address> addresses;
        base::Time useUntil{};
        std::vector<Hook> waiting; ///< while a daemon is being asked
    };

    void ask(const std::string &model, std::size_t attempt);
    void take(const std::string &model, const std::string &body);
    void finish(const std::string &model);

    boost::asio::io_context &m_context;
    std::vector<base::Address> m_entries;
    std::size_t m_next = 0;
    std::map<std::string, Answer> m_answers;
};

} // namespace turmericplank::cli
