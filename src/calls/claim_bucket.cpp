#include "hibiscuswall/calls/claim_bucket.hpp"

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
                       {"at_ms", value.at_ms},
                       {"request", value.request},
                       {"state", state_names[static_cast<int>(value.state)]}};
    if (value.answer)
        object["answer"] = {{"status", value.answer->status},
                            {"content_type", value.answer->content_type},
                            {"body", value.answer->body}};
    return object;
}

auto from_json(json const& object) -> claim
{
    auto value = claim{};
    value.call_id = object.at("call_id").get<std::string>();
    value.host = object.at("host").get<std::string>();
    value.where = object.value("where", "");
    value.incarnation = object.at("incarnation").get<std::uint64_t>();
    value.at_ms = object.at("at_ms").get<long long>();
    value.request = object.at("request").get<std::string>();
    auto const name = object.at("state").get<std::string>();
    auto const* found = std::find(std::begin(state_names), std::end(state_names), name);
    // A state of a later version of the program reads as the one that never runs again.
    value.state = found == std::end(state_names) ? claim_state::unknown
                                                 : static_cast<claim_state>(found - std::begin(state_names));
    if (object.contains("answer")) {
        auto const& kept = object.at("answer");
        value.answer = claim_answer{kept.at("status").get<int>(), kept.at("content_type").get<std::string>(),
                                    kept.at("body").get<std::string>()};
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
    } catch (json::exception const&) {
        return std::nullopt;
    }
    return bucket;
}

// Kept until the next change: fit() and the swap after it need the same text, and a bucket near its limit
// takes milliseconds to write out.
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
    std::erase_if(claims_, [&](auto const& entry) { return now_ms - entry.second.at_ms > lifetime.count(); });
    text_.clear();
}

auto claim_bucket::fit(std::size_t limit) -> bool
{
    auto size = text().size();
    if (size <= limit) return true;
    auto answers = std::vector<claim*>{};
    for (auto& [key, value] : claims_)
        if (value.answer) answers.push_back(&value);
    std::sort(answers.begin(), answers.end(),
              [](claim const* left, claim const* right) { return left->at_ms < right->at_ms; });
    for (auto* value : answers) {
        if (size <= limit) break;
        size -= std::min(size, json(value->answer->body).dump().size());
        value->answer.reset();
    }
    text_.clear();
    return text().size() <= limit;
}

} // namespace hibiscuswall
