#include "turmericplank/telemetry/log.hpp"

#include <array>
#include <cstdio>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include "outputbuffer.hpp"

namespace turmericplank::telemetry {

namespace {

log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string quoteIfNeeded(std::string_view text)
{
    if (!text.empty() && text.find_first_of(" \"=\n\r\t\\") == std::string_view::npos) {
        return std::string(text);
    }
    std::string buf = "\"";
    for (const char it : text) {
        if (it == '"' || it == '\\') {
            buf += '\\';
        }
        buf += (it == '\n' || it == '\r') ? ' ' : it;
    }
    return buf + '"';
}

std::string formatDouble(double value)
{
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.6g", value);
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

constexpr std::size_t MaxBufferedBytes = 256 * 1024; ///< about one second of lines when many requests are rejected

/// Appends to standard output without blocking on a slow reader.
class OutputAppender final : public log4cxx::AppenderSkeleton
{
public:
    explicit OutputAppender(log4cxx::LayoutPtr layout)
        : m_layout(std::move(layout))
        , m_buffer(STDOUT_FILENO, MaxBufferedBytes)
    {
    }

    void close() override
    {
        m_buffer.flush();
    }

    bool requiresLayout() const override
    {
        return true;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString line;
        m_layout->format(line, event, pool);
        m_buffer.write(line);
    }

private:
    log4cxx::LayoutPtr m_layout;
    OutputBuffer m_buffer;
};

} // namespace

LogField::LogField(std::string_view fieldKey, std::string_view fieldValue)
    : key(fieldKey)
    , value(quoteIfNeeded(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, const char *fieldValue)
    : LogField(fieldKey, std::string_view(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, std::int64_t fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, std::uint64_t fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, int fieldValue)
    : LogField(fieldKey, static_cast<std::int64_t>(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, double fieldValue)
    : key(fieldKey)
    , value(formatDouble(fieldValue))
{
}

void startLogging(LogLevel level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
    log4cxx::BasicConfigurator::configure(std::make_shared<OutputAppender>(layout));
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxxLevel(level));
}

bool parseLogLevel(std::string_view text, LogLevel &level)
{
    constexpr std::array<std::pair<std::string_view, LogLevel>, 4> LevelNames = {
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}}};
    for (const auto &[name, it] : LevelNames) {
        if (name == text) {
            level = it;
            return true;
        }
    }
    return false;
}

std::string formatLogLine(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    std::string buf(component);
    buf += ": ";
    buf += message;
    for (const auto &it : fields) {
        buf += ' ' + it.key + '=' + it.value;
    }
    return buf;
}

void log(LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
    const auto log4cxxLevel = toLog4cxxLevel(level);
    if (logger->isEnabledFor(log4cxxLevel)) {
        logger->forcedLog(log4cxxLevel, formatLogLine(component, message, fields));
    }
}

} // namespace turmericplank::telemetry
