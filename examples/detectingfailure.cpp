// Watches a daemon that sends heartbeats and then stops sending them.
#include <iostream>

#include "turmericplank/membership/failuredetector.hpp"

using namespace turmericplank;

int main()
{
    const base::DaemonId peer("entry-2");
    auto now = base::timeFromMilliseconds(1'000'000);
    membership::FailureDetector detector;
    detector.watch(peer, now);
    bool wasSuspected = false;
    for (int n = 0; n < 16; ++n) {
        now += std::chrono::milliseconds(500);
        detector.tick(now);
        if (n < 6) {
            membership::Heartbeat heartbeat;
            heartbeat.from = peer;
            detector.noteHeartbeat(heartbeat, now);
        }
        const auto silence = detector.silence(peer, now);
        const bool isSuspected = silence >= detector.options().suspectAfter;
        wasSuspected = wasSuspected || isSuspected;
        std::cout << "silent for " << base::inMilliseconds(silence) << " ms" << (isSuspected ? ", suspect" : "") << '\n';
    }
    return wasSuspected ? 0 : 1;
}
