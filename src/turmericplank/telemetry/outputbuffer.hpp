#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericplank::telemetry {

/// @brief Writes lines to a file descriptor without blocking on a slow reader.
///
/// Unwritten bytes are buffered up to a limit; a line that would exceed the limit is dropped and counted.
class OutputBuffer
{
public:
    /// @param descriptor output file descriptor; its flags are not changed, since other processes may share it
    /// @param maxBytes maximum number of buffered bytes
    OutputBuffer(int descriptor, std::size_t maxBytes);

    /// @brief Buffers a whole line, including its newline, and flushes.
    void write(std::string_view line);

    /// @brief Writes as much as the descriptor accepts without blocking.
    void flush();

    /// @brief Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    bool isWritable() const;

    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_buffered;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace turmericplank::telemetry
