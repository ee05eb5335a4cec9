#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/gateway.hpp"

namespace turmericplank::gateway::testing {

/// @brief The store of a site, in memory; it answers at once.
class FleetStore
{
public:
    /// @param self id of the daemon
    /// @param context of the daemon, which runs the callbacks
    /// @param isListed which other daemons this one finds in the list of daemons
    SiteStore accessFrom(const std::string &self, boost::asio::io_context &context, std::function<bool(const std::string &)> isListed)
    {
        SiteStore it;
        it.readConfiguration = [this, self, &context](const ReadCallback<ConfigurationSnapshot> &callback) {
            answerLate(self, context, [this, self, callback] {
                if (hiddenConfigurationFor.contains(self)) {
                    callback(tl::unexpected(TableFailure::Unavailable));
                } else {
                    callback(snapshot());
                }
            });
        };
        it.awaitConfiguration = [this, self, &context](std::uint64_t position, const ReadCallback<ConfigurationSnapshot> &callback) {
            awaitChange(self, context, position, base::now() + WaitTime,
                        [this, self, &context, callback](const auto &result) { answerLate(self, context, [callback, result] { callback(result); }); });
        };
        it.readEndpoints = [this, self, &context](const ReadCallback<EndpointsSnapshot> &callback) {
            answerLate(self, context, [this, self, callback] {
                if (!mayUseRows(self)) {
                    callback(tl::unexpected(TableFailure::Unavailable));
                    return;
                }
                EndpointsSnapshot snapshot;
                for (const auto &[id, entry] : entries) {
                    snapshot.entries.push_back(entry);
                }
                callback(snapshot);
            });
        };
        it.parseConfiguration = [this](const std::string &text) {
            return configurations.at(std::stoull(text));
        };
        it.observeEra = [this, self, &context](std::function<void(base::StoreEra)> observer) {
            observer(base::StoreEra(m_era));
            m_eraObservers[self] = [&context, observer = std::move(observer)](base::StoreEra era) {
                boost::asio::post(context, [observer, era] { observer(era); });
            };
        };
        it.table.transact = [this, self, &context](std::vector<store::RowWrite> writes, std::function<void(store::WriteResult)> callback) {
            boost::asio::post(context, [this, self, writes = std::move(writes), callback = std::move(callback)] {
                callback(mayUseRows(self) ? write(writes) : tl::unexpected(store::TableError()));
            });
        };
        it.table.readPrefix = [this, self, &context, isListed = std::move(isListed)](std::string prefix, std::function<void(store::ReadResult)> callback) {
            boost::asio::post(context, [this, self, isListed, prefix = std::move(prefix), callback = std::move(callback)] {
                if (!mayUseRows(self)) {
                    callback(tl::unexpected(store::TableError()));
                    return;
                }
                std::vector<store::Row> found;
                for (const auto &[key, row] : rows) {
                    const bool isHidden = key.starts_with(DaemonPrefix) && !isListed(key.substr(DaemonPrefix.size()));
                    if (key.starts_with(prefix) && !isHidden) {
                        found.push_back(row);
                    }
                }
                callback(found);
            });
        };
        return it;
    }

    /// Puts a configuration in place of the one before; its revision is its position in the history.
    void put(const std::shared_ptr<const routes::SiteConfiguration> &configuration)
    {
        configurations[configuration->revision.value()] = configuration;
    }

    /// Tells all daemons that the store came back from an older copy.
    void beginEra()
    {
        ++m_era;
        for (const auto &[self, observer] : m_eraObservers) {
            observer(base::StoreEra(m_era));
        }
    }

    /// Forgets a daemon that has ended.
    void removeObserver(const std::string &self)
    {
        m_eraObservers.erase(self);
    }

    std::map<std::uint64_t, std::shared_ptr<const routes::SiteConfiguration>> configurations; ///< by revision
    std::set<std::string> hiddenRowsFor; ///< daemons whose calls about entries and rows are turned away
    bool refusesWrites = false;
    std::set<std::string> hiddenConfigurationFor; ///< daemons whose reads of the configuration and waits for changes are turned away
    std::uint64_t firstKeptPosition = 0; ///< in the history; waits from an earlier one fail
    std::set<std::string> silencedWaits; ///< daemons whose waits for a change never end; all their other calls are answered
    std::map<std::string, base::Duration> answerDelays; ///< of daemons that get the answers to reads and waits late
    std::map<base::EndpointId, discovery::EndpointEntry> entries;
    std::map<std::string, store::Row> rows;

private:
    bool mayUseRows(const std::string &self) const
    {
        return !hiddenRowsFor.contains(self);
    }

    static constexpr auto WaitTime = std::chrono::seconds(1);
    static constexpr auto ChangeCheckInterval = std::chrono::milliseconds(5);

    void answerLate(const std::string &self, boost::asio::io_context &context, std::function<void()> answer) const
    {
        const auto it = answerDelays.find(self);
        if (it == answerDelays.end()) {
            boost::asio::post(context, std::move(answer));
        } else {
            daemon::callAt(context, base::now() + it->second, std::move(answer));
        }
    }

    ConfigurationSnapshot snapshot() const
    {
        const auto &[revision, configuration] = *configurations.rbegin();
        return {configuration, revision, std::to_string(revision)};
    }

    void awaitChange(const std::string &self, boost::asio::io_context &context, std::uint64_t position, base::Time end,
                     const ReadCallback<ConfigurationSnapshot> &callback)
    {
        if (silencedWaits.contains(self)) {
            return;
        }
        if (hiddenConfigurationFor.contains(self) || position < firstKeptPosition) {
            boost::asio::post(context, [callback] { callback(tl::unexpected(TableFailure::Unavailable)); });
        } else if (configurations.rbegin()->first > position) {
            callback(snapshot());
        } else if (base::now() >= end) {
            callback(ConfigurationSnapshot{nullptr, position, {}});
        } else {
            daemon::callAt(context, base::now() + ChangeCheckInterval,
                           [this, self, &context, position, end, callback] { awaitChange(self, context, position, end, callback); });
        }
    }

    static constexpr std::string_view DaemonPrefix = "daemons/";

    store::WriteResult write(const std::vector<store::RowWrite> &writes)
    {
        if (refusesWrites) {
            return tl::unexpected(store::TableError());
        }
        store::TableError error{store::TableFailure::Conflict, {}};
        for (const auto &it : writes) {
            const auto row = rows.find(it.key);
            const auto version = row == rows.end() ? base::RowVersion() : row->second.version;
            if (it.expectedVersion && *it.expectedVersion != version) {
                error.conflicts.push_back(row == rows.end() ? store::Row{it.key, {}, {}} : row->second);
            }
        }
        if (!error.conflicts.empty()) {
            return tl::unexpected(error);
        }
        ++m_version;
        for (const auto &it : writes) {
            if (it.value) {
                rows[it.key] = {it.key, base::RowVersion(m_version), *it.value};
            } else {
                rows.erase(it.key);
            }
        }
        return std::vector<base::RowVersion>(writes.size(), base::RowVersion(m_version));
    }

    std::uint64_t m_version = 0;
    std::uint64_t m_era = 1;
    std::map<std::string, std::function<void(base::StoreEra)>> m_eraObservers; ///< by daemon
};

} // namespace turmericplank::gateway::testing
