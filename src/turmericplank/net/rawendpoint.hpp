#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::net::testing {

/// @brief An endpoint on raw sockets with a small receive buffer, which reads and writes only when the test tells it to.
class RawEndpoint
{
public:
    /// @param port 0: any free one
    explicit RawEndpoint(boost::asio::io_context &context, std::uint16_t port = 0)
        : m_context(context)
        , m_acceptor(context)
    {
        using boost::asio::ip::tcp;
        constexpr int ReceiveBufferBytes = 4096;
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.set_option(tcp::socket::receive_buffer_size(ReceiveBufferBytes)); // inherited by the connections
        m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port});
        m_acceptor.listen();
        m_acceptor.non_blocking(true);
    }

    base::Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// @brief Number of connections that were accepted so far.
    std::size_t connections() const
    {
        return m_connections.size();
    }

    /// @brief What was read from a connection.
    const std::string &received(std::size_t connection) const
    {
        return m_connections[connection].received;
    }

    /// @brief Whether the daemon has closed the connection, as far as the endpoint has read.
    bool hasEnded(std::size_t connection) const
    {
        return m_connections[connection].hasEnded;
    }

    /// @brief Accepts what has connected and runs the context, until a condition holds or some seconds have passed.
    /// @return whether the condition holds
    bool runUntil(const std::function<bool()> &condition)
    {
        return runUntil(condition, [](std::size_t) { return false; });
    }

    /// @brief As runUntil(), and reads from one connection meanwhile.
    bool readUntil(std::size_t connection, const std::function<bool()> &condition)
    {
        return runUntil(condition, [connection](std::size_t it) { return it == connection; });
    }

    /// @brief Reads the header section of a request from a connection, and little more.
    bool readHead(std::size_t connection)
    {
        return runUntil([&] { return connections() > connection; })
            && readUntil(connection, [&] { return received(connection).find("\r\n\r\n") != std::string::npos; });
    }

    void write(std::size_t connection, const std::string &bytes)
    {
        boost::system::error_code ignored;
        m_connections[connection].socket.write_some(boost::asio::buffer(bytes), ignored);
    }

    void close(std::size_t connection)
    {
        boost::system::error_code ignored;
        m_connections[connection].socket.close(ignored);
    }

    /// @brief Closes a connection with a reset, whatever has been read.
    void reset(std::size_t connection)
    {
        boost::system::error_code ignored;
        m_connections[connection].socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close(connection);
    }

private:
    struct Connection
    {
        boost::asio::ip::tcp::socket socket;
        std::string received;
        bool hasEnded = false;
    };

    bool runUntil(const std::function<bool()> &condition, const std::function<bool(std::size_t)> &isRead)
    {
        const auto deadline = base::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (base::now() >= deadline) {
                return false;
            }
            m_context.restart();
            const auto isBusy = m_context.poll_one() > 0;
            acceptAll();
            std::size_t bytes = 0;
            for (std::size_t n = 0; n < m_connections.size(); ++n) {
                bytes += isRead(n) ? readSome(m_connections[n]) : 0;
            }
            if (!isBusy && bytes == 0) {
                m_context.restart();
                m_context.run_one_for(std::chrono::milliseconds(1));
            }
        }
        return true;
    }

    void acceptAll()
    {
        for (boost::system::error_code ec; !ec;) {
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, ec);
            if (!ec) {
                socket.non_blocking(true);
                m_connections.push_back({std::move(socket), {}, false});
            }
        }
    }

    static std::size_t readSome(Connection &connection)
    {
        constexpr std::size_t ReadSize = 1024; ///< bytes; small, so that a test can stop within a request
        std::string buf(ReadSize, '\0');
        boost::system::error_code ec;
        const auto n = connection.socket.read_some(boost::asio::buffer(buf), ec);
        connection.received.append(buf, 0, n);
        connection.hasEnded = connection.hasEnded || (ec && ec != boost::asio::error::would_block);
        return n;
    }

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<Connection> m_connections;
};

} // namespace turmericplank::net::testing
