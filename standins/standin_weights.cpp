// Stand-in for the weight store and the origin: models with generated content behind a rate-limited link
// (docs/platform.md).
#include "support/generated_model.hpp"
#include "support/rate_limiter.hpp"
#include "support/standin_program.hpp"

#include <map>

using namespace hibiscuswall;

namespace {

constexpr auto piece_bytes = std::size_t{16 * 1024}; // small enough that connections share the link evenly

struct byte_range {
    std::size_t first = 0;
    std::size_t size = 0;
    bool partial = false;
};

// "Range: bytes=a-b" or "bytes=a-"; the whole when absent; nothing when it lies outside.
auto requested_range(http_request const& request, std::size_t whole) -> std::optional<byte_range>
{
    auto text = request.headers.find("Range");
    if (text.empty()) return byte_range{0, whole, false};
    if (!text.starts_with("bytes=")) return std::nullopt;
    auto const range = std::string{text.substr(6)};
    auto const dash = range.find('-');
    if (dash == std::string::npos || dash == 0) return std::nullopt;
    auto const first = std::strtoull(range.c_str(), nullptr, 10);
    auto const last =
        dash + 1 < range.size() ? std::strtoull(range.c_str() + dash + 1, nullptr, 10) : whole - 1;
    if (first >= whole || last < first) return std::nullopt;
    return byte_range{first, std::min<std::size_t>(last, whole - 1) - first + 1, true};
}

class weights_standin {
public:
    explicit weights_standin(standin_program& program)
        : chunk_bytes_{program.value<std::size_t>("chunk-bytes")}, link_{program.value<double>("rate")},
          most_transfers_{program.value<int>("max-transfers")}
    {
        using out_t = http_responder;
        program.add("GET", "/v1/models/",
                    [this](http_request const& request, out_t& out) { return manifest(request, out); });
        program.add("PUT", "/v1/models/",
                    [this](http_request const& request, out_t& out) { return declare(request, out); });
        program.add("GET", "/v1/blobs/",
                    [this](http_request const& request, out_t& out) { return blob(request, out); });
        program.add("GET", "/v1/stats",
                    [this](http_request const& /*request*/, out_t& out) -> asio::awaitable<void> {
                        auto const report = nlohmann::json{{"bytes_sent", bytes_sent_},
                                                           {"manifest_requests", manifest_requests_},
                                                           {"blob_requests", blob_requests_},
                                                           {"refused", refused_},
                                                           {"active", transfers_}};
                        co_await send_json(out, 200, report);
                    });
        program.add("POST", "/v1/fault",
                    [this](http_request const& request, out_t& out) { return fault(request, out); });
    }

    auto add_model(model_spec const& spec) -> void
    {
        auto made = generate_model(spec, chunk_bytes_);
        manifests_[spec.model + "/" + spec.version] = std::move(made.manifest);
        blobs_.merge(made.chunks);
    }

private:
    auto manifest(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        ++manifest_requests_;
        if (unavailable_) co_return co_await send_status(out, 503);
        auto name = percent_decode(path_after(request, "/v1/models/"));
        if (!name.ends_with("/manifest")) co_return co_await send_status(out, 404);
        name.resize(name.size() - std::string_view{"/manifest"}.size());
        auto const found = manifests_.find(name);
        if (found == manifests_.end()) co_return co_await send_status(out, 404);
        auto text = found->second;
        if (alter_manifests_ > 0) {
            --alter_manifests_;
            alter_first_digest(text, static_cast<std::size_t>(alter_manifests_));
        }
        auto answer = json_response(200, std::move(text));
        bytes_sent_ += found->second.size();
        co_await out.send(std::move(answer));
    }

    // One digit of the first chunk's digest, another one each time.
    static auto alter_first_digest(std::string& text, std::size_t number) -> void
    {
        auto document = nlohmann::json::parse(text);
        auto digest = document["chunks"][0]["sha256"].get<std::string>();
        auto& digit = digest[number % digest.size()];
        digit = digit == '0' ? '1' : '0';
        document["chunks"][0]["sha256"] = digest;
        text = document.dump();
    }

    // PUT /v1/models/{model}/{version} {"size","seed","shared_seed","shared_chunks"}
    auto declare(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const name = percent_decode(path_after(request, "/v1/models/"));
        auto const slash = name.find('/');
        auto const body = body_object(request);
        if (slash == std::string::npos || !body.contains("size")) co_return co_await send_status(out, 400);
        add_model({name.substr(0, slash), name.substr(slash + 1), body.value("size", std::size_t{0}),
                   body.value("seed", std::uint64_t{1}), body.value("shared_seed", std::uint64_t{0}),
                   body.value("shared_chunks", std::size_t{0})});
        auto const digest = sha256(manifests_[name]);
        co_await send_field(out, 200, "manifest_digest", digest);
    }

    auto blob(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        ++blob_requests_;
        if (unavailable_) co_return co_await send_status(out, 503);
        auto const found = blobs_.find(path_after(request, "/v1/blobs/"));
        if (found == blobs_.end()) co_return co_await send_status(out, 404);
        auto const range = requested_range(request, found->second.size());
        if (!range) co_return co_await send_status(out, 416);
        if (most_transfers_ > 0 && transfers_ >= most_transfers_) {
            ++refused_;
            auto answer = http_response{429, {}, {}};
            answer.headers.set("Retry-After", 1LL);
            co_await out.send(std::move(answer));
            co_return;
        }
        ++transfers_;
        co_await send_range(found->second, *range, out);
        --transfers_;
    }

    auto send_range(std::string const& bytes, byte_range range, http_responder& out) -> asio::awaitable<void>
    {
        auto headers = http_headers{};
        headers.set("Content-Type", "application/octet-stream");
        if (range.partial)
            headers.set("Content-Range", "bytes " + std::to_string(range.first) + "-" +
                                             std::to_string(range.first + range.size - 1) + "/" +
                                             std::to_string(bytes.size()));
        auto connected = co_await out.start(range.partial ? 206 : 200, headers);
        auto const corrupt = corrupt_next_ > 0;
        if (corrupt) --corrupt_next_;
        for (auto at = std::size_t{0}; connected && at < range.size; at += piece_bytes) {
            auto piece = bytes.substr(range.first + at, std::min(piece_bytes, range.size - at));
            if (corrupt) piece[0] = static_cast<char>(~piece[0]);
            co_await link_.take(piece.size());
            connected = !out.disconnected() && co_await out.write(piece);
            bytes_sent_ += piece.size();
        }
        if (connected) co_await out.finish();
    }

    auto fault(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        unavailable_ = body.value("unavailable", false);
        corrupt_next_ = body.value("corrupt_blobs", 0);
        alter_manifests_ = body.value("alter_manifests", 0);
        if (body.contains("rate")) link_.set_rate(body.value("rate", 0.0));
        co_await send_json(out, 200, body);
    }

    std::size_t chunk_bytes_;
    rate_limiter link_;
    int most_transfers_;
    std::map<std::string, std::string> manifests_; // by "model/version"
    std::map<std::string, std::string> blobs_;     // by SHA-256
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t manifest_requests_ = 0;
    std::uint64_t blob_requests_ = 0;
    std::uint64_t refused_ = 0;
    int transfers_ = 0;
    int corrupt_next_ = 0;    // blobs
    int alter_manifests_ = 0; // manifests
    bool unavailable_ = false;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"standin-weights", "stand-in for the weight store or the origin"};
    program.options().add_options()("model",
                                    "MODEL/VERSION:BYTES:SEED[:SHARED_SEED:SHARED_CHUNKS]; repeatable",
                                    cxxopts::value<std::vector<std::string>>())(
        "chunk-bytes", "size of a chunk", cxxopts::value<std::size_t>()->default_value("1048576"))(
        "rate", "bytes/s over all connections; 0: unlimited", cxxopts::value<double>()->default_value("0"))(
        "max-transfers", "blobs sent at a time, more are answered 429; 0: unlimited",
        cxxopts::value<int>()->default_value("0"));
    if (auto const code = program.parse(argc, argv)) return *code;
    auto service = weights_standin{program};
    if (program.given().count("model") > 0) {
        for (auto const& text : program.value<std::vector<std::string>>("model")) {
            auto const spec = parse_model_spec(text);
            if (!spec) return program.usage("--model " + text + ": not MODEL/VERSION:BYTES:SEED");
            service.add_model(*spec);
        }
    }
    return program.run();
}
