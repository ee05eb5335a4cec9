#include "turmericplank/gateway/endpointrefresh.hpp"

#include <utility>

namespace turmericplank::gateway {

namespace {

SharedRead::Read readAndNote(EndpointRefresh::Read read, std::function<void(const std::vector<discovery::EndpointEntry> &)> onRead)
{
    return [read = std::move(read), onRead = std::move(onRead)](const std::function<void(bool)> &onDone) {
        read([onRead, onDone](const tl::expected<EndpointsSnapshot, TableFailure> &result) {
            if (result) {
                onRead(result->entries);
            }
            onDone(result.has_value());
        });
    };
}

} // namespace

EndpointRefresh::EndpointRefresh(boost::asio::io_context &context, Read read, std::function<void(const std::vector<discovery::EndpointEntry> &)> onRead,
                                 EndpointRefreshOptions options)
    : m_reads(context, readAndNote(std::move(read), std::move(onRead)), options)
{
}

void EndpointRefresh::refresh(std::function<void(bool)> onDone)
{
    m_reads.request(std::move(onDone));
}

} // namespace turmericplank::gateway
