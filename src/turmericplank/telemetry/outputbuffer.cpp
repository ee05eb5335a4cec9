#include "outputbuffer.hpp"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace turmericplank::telemetry {

namespace {

constexpr std::size_t PipePiece = 4096; ///< bytes that a writable pipe takes without waiting (PIPE_BUF)

} // namespace

OutputBuffer::OutputBuffer(int descriptor, std::size_t limit)
    : m_descriptor(descriptor)
    , m_limit(limit)
{
}

bool OutputBuffer::isWritable() const
{
    pollfd it{m_descriptor, POLLOUT, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void OutputBuffer::write(std::string_view line)
{
    if (m_waiting.size() + line.size() > m_limit) {
        ++m_dropped;
        flush();
        return;
    }
    if (m_dropped != m_droppedTold) {
        m_waiting += "log: lines were dropped, the reader is slow lines=" + std::to_string(m_dropped - m_droppedTold) + '\n';
        m_droppedTold = m_dropped;
    }
    m_waiting += line;
    flush();
}

void OutputBuffer::flush()
{
    std::size_t written = 0;
    while (written < m_waiting.size() && isWritable()) {
        const auto n = ::write(m_descriptor, m_waiting.data() + written, std::min(PipePiece, m_waiting.size() - written));
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    m_waiting.erase(0, written);
}

std::uint64_t OutputBuffer::dropped() const
{
    return m_dropped;
}

} // namespace turmericplank::telemetry
