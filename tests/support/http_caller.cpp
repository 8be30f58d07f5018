#include "support/http_caller.hpp"

#include "hibiscuswall/core/sha256.hpp"
#include "support/run_coroutine.hpp"

#include <sstream>

namespace hibiscuswall {
namespace {

constexpr auto digest_digits = std::size_t{12}; // of a digest in the stand-in engine's tokens

auto read_event(std::string const& block, streamed_response& answer) -> void
{
    auto id = 0;
    auto done = false;
    auto data = nlohmann::json{};
    auto lines = std::istringstream{block};
    for (auto line = std::string{}; std::getline(lines, line);) {
        if (line.starts_with("id: ")) id = std::atoi(line.c_str() + 4);
        if (line == "event: done") done = true;
        if (line.starts_with("data: ")) data = nlohmann::json::parse(line.substr(6), nullptr, false);
    }
    if (!data.is_object()) return;
    if (done) {
        answer.whole = answer.whole && data.value("events", -1) == answer.events;
        answer.whole = answer.whole && answer.events > 0;
        return;
    }
    if (!data.contains("text")) return;
    ++answer.events;
    if (id != answer.events) answer.whole = false;
    answer.text += data.value("text", std::string{});
}

} // namespace

auto call(address const& where, http_request request, milliseconds timeout) -> http_response
{
    auto io = asio::io_context{};
    auto client = http_client{io, nullptr};
    auto options = http_call_options{};
    options.timeout = timeout;
    auto answer = run_coroutine(io, client.fetch(where, std::move(request), options));
    if (answer) return std::move(answer).value();
    return {0, {}, answer.error().message};
}

auto call_and_keep_partial(address const& where, http_request request, milliseconds timeout)
    -> partial_response
{
    auto io = asio::io_context{};
    auto client = http_client{io, nullptr};
    auto options = http_call_options{};
    options.timeout = timeout;
    auto opened = run_coroutine(io, client.open(where, std::move(request), options));
    if (!opened) return {};
    auto& stream = *opened.value();
    auto response = partial_response{stream.status(), stream.headers(), {}, false};
    while (true) {
        auto piece = run_coroutine(io, stream.read());
        if (!piece) return response;
        if (!piece.value()) break;
        response.body += *piece.value();
    }
    response.complete = true;
    return response;
}

auto call_json(address const& where, std::string method, std::string target, nlohmann::json const& body)
    -> nlohmann::json
{
    auto request = http_request{std::move(method), std::move(target)};
    if (!body.is_null()) request.body = body.dump();
    auto const answer = call(where, std::move(request));
    if (answer.status < 200 || answer.status > 299) return nullptr;
    auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json{} : parsed;
}

auto parse_stream(http_response const& answer) -> streamed_response
{
    auto parsed = streamed_response{};
    parsed.status = answer.status;
    parsed.body = answer.body;
    parsed.headers = answer.headers;
    parsed.whole = answer.status == 200 && answer.body.find("event: done") != std::string::npos;
    auto rest = answer.body;
    for (auto end = rest.find("\n\n"); end != std::string::npos; end = rest.find("\n\n")) {
        read_event(rest.substr(0, end), parsed);
        rest.erase(0, end + 2);
    }
    return parsed;
}

auto call_completion(address const& where, std::string const& key, std::string const& model,
                     std::string const& prompt, int max_tokens, milliseconds timeout) -> streamed_response
{
    auto request = http_request{"POST", "/v1/completions"};
    request.headers.set("Authorization", "Bearer " + key);
    request.headers.set("X-Request-Timeout-Ms", static_cast<long long>(timeout.count()));
    request.body =
        nlohmann::json{{"model", model}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", true}}
            .dump();
    return parse_stream(call(where, std::move(request), timeout));
}

auto text_is_consistent(std::string const& text, std::string const& prompt, int tokens) -> bool
{
    auto const digest = sha256(prompt).substr(0, digest_digits);
    auto words = std::istringstream{text};
    auto weights = std::string{};
    auto count = 0;
    for (auto word = std::string{}; words >> word;) {
        auto const at = word.find('@');
        if (at == std::string::npos) return false;
        if (word.substr(0, at) != digest + "#" + std::to_string(++count)) return false;
        if (weights.empty()) weights = word.substr(at);
        if (word.substr(at) != weights) return false;
    }
    return count == tokens;
}

} // namespace hibiscuswall
