#include "hibiscuswall/weights/engine_stage.hpp"

#include "platform/engine_calls.hpp"

namespace hibiscuswall {
namespace {

constexpr auto stage_timeout = milliseconds{1'000};      // of one request to the engine on this host
constexpr auto max_list_bytes = std::size_t{256 * 1024}; // of the list of staged chunks
constexpr auto max_done_bytes = std::size_t{64 * 1024};  // of the answer to a chunk that was written

// The engine may be faulty: nothing larger than what was asked for is kept.
auto stage_options(std::size_t max_bytes) -> http_call_options
{
    auto options = http_call_options{};
    options.connect_timeout = stage_timeout;
    options.timeout = stage_timeout;
    options.body_limit = max_bytes;
    options.purpose = "stage";
    options.may_end_with_connection = true; // a cut list is not valid JSON, and chunks have digests
    return options;
}

auto unexpected_status_error(int status) -> error
{
    return fail(result_code::unexpected_status,
                "engine: stage request: expected a success status, received " + std::to_string(status));
}

} // namespace

auto engine_stage::read_back(manifest_ptr version) -> asio::awaitable<result<std::vector<bool>>>
{
    auto matches = std::vector<bool>(version->chunks.size());
    auto response = co_await context_.client.fetch(engine_, platform::staged_list_request(version->model),
                                                   stage_options(max_list_bytes));
    if (!response) co_return response.error();
    if (response.value().status == 404) co_return matches;
    if (response.value().status != 200) co_return unexpected_status_error(response.value().status);
    auto const listed = platform::decode_staged_list(response.value().body, version->chunks.size());
    if (!listed) co_return listed.error();
    for (auto i = std::size_t{0}; i < matches.size(); ++i)
        if (listed.value()[i]) matches[i] = co_await read_chunk(version, i);
    co_return matches;
}

auto engine_stage::read_chunk(manifest_ptr version, std::size_t chunk) -> asio::awaitable<bool>
{
    auto const& entry = version->chunks[chunk];
    auto response = co_await context_.client.fetch(
        engine_, platform::staged_chunk_request(version->model, chunk), stage_options(entry.size));
    if (!response || response.value().status != 200) co_return false;
    auto bytes = std::make_shared<std::string const>(std::move(response.value().body));
    if (bytes->size() != entry.size) co_return false;
    auto parts = std::vector<chunk_bytes>{bytes};
    auto const verified = co_await digests_.matches(std::move(parts), entry.sha256);
    if (verified) chunks_.add(entry.sha256, bytes);
    co_return verified;
}

auto engine_stage::write(manifest_ptr version, std::size_t chunk, chunk_bytes bytes)
    -> asio::awaitable<result<void>>
{
    auto response = co_await context_.client.fetch(
        engine_, platform::stage_request(version->model, chunk, *bytes), stage_options(max_done_bytes));
    if (!response) co_return response.error();
    auto const status = response.value().status;
    if (status < 200 || status >= 300) co_return unexpected_status_error(status);
    co_return success();
}

} // namespace hibiscuswall
