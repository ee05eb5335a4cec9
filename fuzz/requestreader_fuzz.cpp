#include <algorithm>
#include <cstdlib>
#include <limits>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include "turmericplank/net/httpserver.hpp"

using namespace turmericplank;
using namespace turmericplank::net;
using boost::asio::ip::tcp;

namespace {

const base::Address ListenAddress{"127.0.0.1", 20190};
constexpr std::size_t MaxHeaderBytes = 512;
constexpr std::size_t MaxBodyBytes = 1024;
constexpr std::size_t MaxWrites = 64; ///< for one input, so that small pieces do not take long

/// A server with low limits, and a caller that sends the input in pieces and then disconnects.
class Fixture
{
public:
    Fixture()
    {
        CallerBudgetOptions budgetOptions;
        budgetOptions.maxConnections = 8;
        budgetOptions.maxBytes = std::numeric_limits<std::size_t>::max() / 2; // the connection must not give way before checkMemory() sees it
        m_budget = CallerBudgetPointer(new CallerBudget(std::move(budgetOptions)));
        HttpServerOptions options;
        options.listen = ListenAddress;
        options.maxHeaderBytes = MaxHeaderBytes;
        options.maxBodyBytes = MaxBodyBytes;
        options.budget = m_budget;
        options.onRequest = [](const ExchangePointer &exchange) {
            const auto &request = exchange->request();
            const std::string_view coding = header(request.headers, "Transfer-Encoding");
            if (request.body.size() > MaxBodyBytes || (!coding.empty() && !boost::beast::iequals({coding.data(), coding.size()}, "chunked"))) {
                std::abort();
            }
            exchange->respond({200, {}, "ok"});
        };
        m_server = listenHttp(m_context, std::move(options));
    }

    void send(std::string_view bytes, std::size_t pieceSize)
    {
        tcp::socket socket(m_context);
        socket.connect({boost::asio::ip::make_address(ListenAddress.host), ListenAddress.port});
        // A reset at the end leaves no port in the state TIME_WAIT.
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.non_blocking(true);
        boost::system::error_code ec;
        while (!bytes.empty() && !ec) {
            const auto n = std::min(pieceSize, bytes.size());
            boost::asio::write(socket, boost::asio::buffer(bytes.data(), n), ec);
            bytes.remove_prefix(n);
            poll();
            checkMemory();
        }
        socket.close();
        // The server may need several turns to read the rest and to notice the reset.
        for (int n = 0; n < 1000 && m_budget->connections() > 0; ++n) {
            poll();
        }
        if (m_server->exchangesInProgress() > 0 || m_budget->connections() > 0) {
            std::abort();
        }
    }

private:
    void poll()
    {
        m_context.restart();
        m_context.poll();
    }

    /// An announced length must not reserve memory beyond the limit of a body.
    void checkMemory() const
    {
        constexpr std::size_t MaxConnectionBytes = 256 * 1024;
        if (m_budget->bytes() > MaxConnectionBytes) {
            std::abort();
        }
    }

    boost::asio::io_context m_context;
    CallerBudgetPointer m_budget;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

/// Sends the input as a caller's bytes; its first byte sets the size of the pieces. Checks that no request above the limits or with an
/// unsupported transfer coding reaches the handler, that an announced length reserves no memory beyond them, and that the connection is released
/// when the caller is gone.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    static Fixture fixture;
    if (size > 0) {
        const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
        fixture.send(bytes, std::max<std::size_t>({1, data[0], bytes.size() / MaxWrites}));
    }
    return 0;
}
