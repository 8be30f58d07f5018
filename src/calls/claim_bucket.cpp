#include "hibiscuswall/calls/claim_bucket.hpp"

#include "hibiscuswall/core/checked_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr std::string_view state_names[] = {"sent", "answered", "released", "unknown"};

auto to_json(claim const& value) -> json
{
    auto object = json{{"call_id", value.call_id},
                       {"host", value.host},
                       {"where", value.where},
                       {"incarnation", value.incarnation},
                       {"at_ms", value.claimed_at_ms},
                       {"request", value.request_digest},
                       {"state", state_names[static_cast<int>(value.state)]}};
    if (value.response)
        object["answer"] = {{"status", value.response->status},
                            {"content_type", value.response->content_type},
                            {"body", value.response->body}};
    return object;
}

auto from_json(json const& object) -> claim
{
    auto value = claim{};
    value.call_id = object.at("call_id").get<std::string>();
    value.host = object.at("host").get<std::string>();
    value.where = object.value("where", "");
    value.incarnation = integer_field<std::uint64_t>(object, "incarnation");
    value.claimed_at_ms = integer_field<long long>(object, "at_ms");
    value.request_digest = object.at("request").get<std::string>();
    auto const name = object.at("state").get<std::string>();
    auto const* found = std::find(std::begin(state_names), std::end(state_names), name);
    // A state written by a later version of the program is read as unknown: the call is never run again.
    value.state = found == std::end(state_names) ? claim_state::unknown
                                                 : static_cast<claim_state>(found - std::begin(state_names));
    if (object.contains("answer")) {
        auto const& stored = object.at("answer");
        value.response =
            claim_response{integer_field<int>(stored, "status"), stored.at("content_type").get<std::string>(),
                           stored.at("body").get<std::string>()};
    }
    return value;
}

} // namespace

auto claim_bucket::parse(std::string_view text) -> std::optional<claim_bucket>
{
    auto bucket = claim_bucket{};
    if (text.empty()) return bucket;
    try {
        auto const document = json::parse(text);
        if (!document.is_object()) return std::nullopt;
        for (auto const& [key, object] : document.items())
            bucket.claims_.emplace(key, from_json(object));
    } catch (std::exception const&) {
        return std::nullopt;
    }
    return bucket;
}

// The text is cached until the next change: fit() and the following compare-and-swap need the same text, and
// serializing a bucket near its size limit takes milliseconds.
auto claim_bucket::text() const -> std::string
{
    if (!text_.empty()) return text_;
    auto document = json::object();
    for (auto const& [key, value] : claims_)
        document[key] = to_json(value);
    text_ = document.dump();
    return text_;
}

auto claim_bucket::set(std::string key, claim value) -> void
{
    claims_[std::move(key)] = std::move(value);
    text_.clear();
}

auto claim_bucket::find(std::string_view key) const -> claim const*
{
    auto const found = claims_.find(key);
    return found == claims_.end() ? nullptr : &found->second;
}

auto claim_bucket::drop_expired(long long now_ms, milliseconds lifetime) -> void
{
    std::erase_if(claims_,
                  [&](auto const& entry) { return now_ms - entry.second.claimed_at_ms > lifetime.count(); });
    text_.clear();
}

auto claim_bucket::fit(std::size_t limit) -> bool
{
    auto size = text().size();
    if (size <= limit) return true;
    auto with_response = std::vector<claim*>{};
    for (auto& [key, value] : claims_)
        if (value.response) with_response.push_back(&value);
    std::sort(with_response.begin(), with_response.end(), [](claim const* left, claim const* right) {
        return left->claimed_at_ms < right->claimed_at_ms;
    });
    for (auto* value : with_response) {
        if (size <= limit) break;
        size -= std::min(size, json(value->response->body).dump().size());
        value->response.reset();
    }
    text_.clear();
    return text().size() <= limit;
}

} // namespace hibiscuswall
