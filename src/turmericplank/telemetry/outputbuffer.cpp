#include "outputbuffer.hpp"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace turmericplank::telemetry {

namespace {

constexpr std::size_t MaxPipeWriteBytes = 4096; ///< a writable pipe accepts this many bytes without blocking (PIPE_BUF)

} // namespace

OutputBuffer::OutputBuffer(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor)
    , m_maxBytes(maxBytes)
{
}

bool OutputBuffer::isWritable() const
{
    pollfd it{m_descriptor, POLLOUT, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void OutputBuffer::write(std::string_view line)
{
    if (m_buffered.size() + line.size() > m_maxBytes) {
        ++m_dropped;
        flush();
        return;
    }
    if (m_dropped != m_reportedDropped) {
        m_buffered += "log: lines were dropped because the reader is slow lines=" + std::to_string(m_dropped - m_reportedDropped) + '\n';
        m_reportedDropped = m_dropped;
    }
    m_buffered += line;
    flush();
}

void OutputBuffer::flush()
{
    std::size_t written = 0;
    while (written < m_buffered.size() && isWritable()) {
        const auto n = ::write(m_descriptor, m_buffered.data() + written, std::min(MaxPipeWriteBytes, m_buffered.size() - written));
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    m_buffered.erase(0, written);
}

std::uint64_t OutputBuffer::dropped() const
{
    return m_dropped;
}

} // namespace turmericplank::telemetry
