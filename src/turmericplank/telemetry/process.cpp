#include "turmericplank/telemetry/process.hpp"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace turmericplank::telemetry {

namespace {

double toSeconds(const timeval &time)
{
    constexpr double MicrosecondsPerSecond = 1e6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / MicrosecondsPerSecond;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

void updateProcessMetrics(Metrics &metrics)
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    metrics.setGauge("process_cpu_seconds_total", toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime));
    metrics.setGauge("process_resident_bytes", residentBytes());
}

} // namespace turmericplank::telemetry
