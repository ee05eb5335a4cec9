#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nghttp2/nghttp2.h>

#include "turmericplank/base/time.hpp"

namespace turmericplank::peer {

/// @brief Callbacks of a session; all run on the socket's executor.
struct Http2Callbacks
{
    std::function<void(std::int32_t streamId, std::string_view name, std::string_view value)> onHeader;
    std::function<void(std::int32_t streamId, std::string_view chunk)> onData;
    std::function<void(std::int32_t streamId)> onEndStream; ///< the remote side has sent END_STREAM
    std::function<void(std::int32_t streamId, std::uint32_t errorCode)> onStreamClosed;
    std::function<void(std::int32_t streamId)> onWritten; ///< bytes of the stream's body have been handed to the connection; may be empty
    /// Called after each read, once all frames in it are decoded, with whether more bytes have arrived.
    std::function<void(bool hasMore)> onRead;
    std::function<void()> onClosed; ///< called once, when the connection has closed; streams still open get no onStreamClosed
};

/// @brief Role and timeouts of a session.
struct Http2Options
{
    bool isServer = false;
    base::Duration pingInterval = std::chrono::seconds(1); ///< a ping is sent when nothing was received for this long
    base::Duration pingTimeout = std::chrono::seconds(3); ///< the connection is closed when nothing was received for this long
};

using Http2Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief Runs one nghttp2 session over an Asio socket.
class Http2Session : public boost::intrusive_ref_counter<Http2Session, boost::thread_unsafe_counter>
{
public:
    /// @param socket connected socket
    /// @param options role and timeouts
    /// @param callbacks callbacks for the events of the session
    /// @param byteCounter incremented by the bytes sent and received; must outlive the session
    Http2Session(boost::asio::ip::tcp::socket socket, Http2Options options, Http2Callbacks callbacks, std::uint64_t &byteCounter);
    ~Http2Session();

    /// @brief Sends the settings and starts reading.
    void start();
    /// @brief Opens a stream and sends a complete body on it.
    /// @return the stream id, or a negative nghttp2 error code if the session accepts no more streams
    std::int32_t openStream(const Http2Headers &headers, std::string body);
    /// @brief Starts the response on a stream; the body is sent with write() and end().
    void startResponse(std::int32_t streamId, const Http2Headers &headers);
    /// @brief Sends a chunk of the stream's body.
    void write(std::int32_t streamId, std::string chunk);
    /// @brief Ends the stream's body.
    void end(std::int32_t streamId);
    /// @brief Bytes of the stream's body that the other side has no room for yet.
    std::size_t queuedBytes(std::int32_t streamId) const;
    /// @brief Grants the other side no further room for a stream's body, or goes on; it may send what it has room for.
    void setReadingPaused(std::int32_t streamId, bool isPaused);
    /// @brief Resets a stream.
    /// @param errorCode for example NGHTTP2_REFUSED_STREAM
    void reset(std::int32_t streamId, std::uint32_t errorCode);
    /// @brief Sends GOAWAY: rejects streams not received yet and lets the others finish.
    void beginShutdown();
    /// @brief Closes the connection; onClosed is called afterwards.
    void close();
    /// @brief Whether new streams can be opened.
    bool isOpen() const;

private:
    struct OutgoingBody
    {
        std::string bytes;
        std::size_t sent = 0;
        bool hasEnded = false;
    };
    using Pointer = boost::intrusive_ptr<Http2Session>;

    static nghttp2_session_callbacks *nghttp2Callbacks();
    static ssize_t readBody(nghttp2_session *session, std::int32_t streamId, std::uint8_t *buf, std::size_t length, std::uint32_t *flags,
                            nghttp2_data_source *source, void *self);
    nghttp2_data_provider makeDataProvider();
    void read();
    void flush();
    void scheduleFlush();
    void noteReceived(std::int32_t streamId, std::size_t size);
    void notifyWritten();
    void armKeepaliveTimer();
    void notifyClosed();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_keepaliveTimer;
    Http2Options m_options;
    Http2Callbacks m_callbacks;
    std::uint64_t &m_byteCounter;
    std::unique_ptr<nghttp2_session, decltype(&nghttp2_session_del)> m_session;
    std::map<std::int32_t, OutgoingBody> m_bodies;
    std::map<std::int32_t, std::size_t> m_pausedStreams; ///< bytes received since reading was paused
    std::vector<std::int32_t> m_writtenStreams; ///< for which onWritten is to be called
    std::vector<std::uint8_t> m_readBuffer;
    std::string m_writeBuffer;
    base::Time m_receiveDeadline;
    base::Time m_nextPingTime;
    bool m_isWriting = false;
    bool m_isFlushScheduled = false;
    bool m_isClosed = false;
};

} // namespace turmericplank::peer
