#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace turmericplank::gateway::testing {

/// @brief What becomes of the connections over a link.
enum class LinkState {
    Open,
    Hanging, ///< bytes stay in the link until it is open again, and new connections are not established
    Resetting, ///< open connections are reset, and new ones as soon as they are established
    RefusingNew, ///< open connections live on, and new ones are refused
};

/// @brief A relay through which one daemon connects to one endpoint over loopback.
class EndpointLink
{
public:
    /// @param context runs the relay
    /// @param endpointPort where the endpoint listens
    EndpointLink(boost::asio::io_context &context, std::uint16_t endpointPort)
        : m_context(context)
        , m_endpointPort(endpointPort)
        , m_reservation(bindSocket(0))
        , m_port(m_reservation.local_endpoint().port())
    {
        listen(SOMAXCONN);
        accept();
    }

    ~EndpointLink()
    {
        for (const auto &it : m_connections) {
            it->close(false);
        }
    }

    /// Where the daemon connects to.
    std::uint16_t port() const
    {
        return m_port;
    }

    void setState(LinkState state)
    {
        if (state == m_state) {
            return;
        }
        m_state = state;
        m_acceptor.reset();
        m_queueFillers.clear();
        if (state == LinkState::Hanging) {
            listen(0);
            fillQueue();
        } else if (state != LinkState::RefusingNew) {
            listen(SOMAXCONN);
            accept();
        }
        std::erase_if(m_connections, [](const auto &it) { return it->isClosed; });
        for (const auto &it : m_connections) {
            if (state == LinkState::Resetting) {
                it->close(true);
            } else if (state != LinkState::Hanging) {
                it->resume();
            }
        }
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Acceptor = boost::asio::ip::tcp::acceptor;
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    /// One direction of a connection.
    struct Direction
    {
        Socket &from;
        Socket &to;
        std::array<char, 16 * 1024> buf{};
        std::size_t held = 0; ///< bytes that were read and wait for the link to open
        bool isEnded = false; ///< the sender has closed its end
    };

    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(EndpointLink &owner, Socket accepted)
            : link(owner)
            , daemon(std::move(accepted))
            , endpoint(owner.m_context)
        {
        }

        void start()
        {
            endpoint.async_connect({boost::asio::ip::address_v4::loopback(), link.m_endpointPort}, [self = shared_from_this()](boost::system::error_code ec) {
                if (ec) {
                    self->close(true);
                } else if (!self->isClosed) {
                    self->read(self->toEndpoint);
                    self->read(self->toDaemon);
                }
            });
        }

        void read(Direction &direction)
        {
            direction.from.async_read_some(boost::asio::buffer(direction.buf),
                                           [self = shared_from_this(), &direction](boost::system::error_code ec, std::size_t n) {
                                               if (self->isClosed) {
                                                   return;
                                               }
                                               direction.held = n;
                                               direction.isEnded = static_cast<bool>(ec);
                                               if (self->link.m_state != LinkState::Hanging) {
                                                   self->pass(direction);
                                               }
                                           });
        }

        void pass(Direction &direction)
        {
            if (direction.isEnded) {
                close(false);
                return;
            }
            const auto n = std::exchange(direction.held, 0);
            boost::asio::async_write(direction.to, boost::asio::buffer(direction.buf.data(), n),
                                     [self = shared_from_this(), &direction](boost::system::error_code ec, std::size_t) {
                                         if (ec) {
                                             self->close(false);
                                         } else if (!self->isClosed) {
                                             self->read(direction);
                                         }
                                     });
        }

        void resume()
        {
            for (auto *it : {&toEndpoint, &toDaemon}) {
                if (!isClosed && (it->held > 0 || it->isEnded)) {
                    pass(*it);
                }
            }
        }

        void close(bool isReset)
        {
            isClosed = true;
            for (auto *it : {&daemon, &endpoint}) {
                boost::system::error_code ignored;
                if (isReset) {
                    it->set_option(boost::asio::socket_base::linger(true, 0), ignored);
                }
                it->close(ignored);
            }
        }

        EndpointLink &link;
        Socket daemon;
        Socket endpoint;
        Direction toEndpoint{daemon, endpoint};
        Direction toDaemon{endpoint, daemon};
        bool isClosed = false;
    };

    /// The port stays reserved while nothing listens on it.
    Socket bindSocket(std::uint16_t port)
    {
        Socket it(m_context, boost::asio::ip::tcp::v4());
        it.set_option(ReusePort(true));
        it.bind({boost::asio::ip::address_v4::loopback(), port});
        return it;
    }

    void listen(int queueLength)
    {
        m_acceptor.emplace(m_context);
        m_acceptor->open(boost::asio::ip::tcp::v4());
        m_acceptor->set_option(ReusePort(true));
        m_acceptor->bind({boost::asio::ip::address_v4::loopback(), m_port});
        m_acceptor->listen(queueLength);
    }

    /// The system drops requests for connections while the queue of those that were not accepted is full.
    void fillQueue()
    {
        constexpr int FillerCount = 3;
        for (int n = 0; n < FillerCount; ++n) {
            m_queueFillers.push_back(std::make_unique<Socket>(m_context));
            m_queueFillers.back()->async_connect({boost::asio::ip::address_v4::loopback(), m_port}, [](boost::system::error_code) {});
        }
    }

    void accept()
    {
        m_acceptor->async_accept([this](boost::system::error_code ec, Socket socket) {
            if (ec) {
                return; // the link has changed its state or has ended
            }
            std::erase_if(m_connections, [](const auto &it) { return it->isClosed; });
            m_connections.push_back(std::make_shared<Connection>(*this, std::move(socket)));
            if (m_state == LinkState::Resetting) {
                m_connections.back()->close(true);
            } else {
                m_connections.back()->start();
            }
            if (m_acceptor) {
                accept();
            }
        });
    }

    boost::asio::io_context &m_context;
    std::uint16_t m_endpointPort;
    Socket m_reservation;
    std::uint16_t m_port;
    LinkState m_state = LinkState::Open;
    std::optional<Acceptor> m_acceptor;
    std::vector<std::unique_ptr<Socket>> m_queueFillers;
    std::vector<std::shared_ptr<Connection>> m_connections;
};

} // namespace turmericplank::gateway::testing
