#include "hibiscuswall/serving/crash_marks.hpp"

#include "hibiscuswall/core/sha256.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hibiscuswall {
namespace {

struct listed_segment {
    std::string const* model = nullptr;
    std::string const* segment = nullptr;
    marked_segment const* marks = nullptr;
};

// Whether the first is less suspected, whatever its time.
auto has_less_evidence(marked_segment const& left, marked_segment const& right) -> bool
{
    return std::tuple{left.generation(), left.crashes()} < std::tuple{right.generation(), right.crashes()};
}

// Whether the first is forgotten before the second.
auto is_less_suspected(listed_segment const& left, listed_segment const& right) -> bool
{
    auto const order = [](listed_segment const& each) {
        return std::tuple{each.marks->generation(), each.marks->crashes(), each.marks->newest()};
    };
    auto const left_order = order(left);
    auto const right_order = order(right);
    if (left_order != right_order) return left_order < right_order;
    return std::tie(*left.model, *left.segment) < std::tie(*right.model, *right.segment);
}

auto least_suspected(crash_marks::model_map const& models) -> listed_segment
{
    auto least = listed_segment{};
    for (auto const& [model, segments] : models)
        for (auto const& [segment, marks] : segments) {
            auto const listed = listed_segment{&model, &segment, &marks};
            if (least.marks == nullptr || is_less_suspected(listed, least)) least = listed;
        }
    return least;
}

auto list(crash_marks::model_map const& models) -> std::vector<listed_segment>
{
    auto listed = std::vector<listed_segment>{};
    for (auto const& [model, segments] : models)
        for (auto const& [segment, marks] : segments)
            listed.push_back({&model, &segment, &marks});
    return listed;
}

auto to_record(listed_segment const& listed) -> segment_record
{
    auto const marks = listed.marks->marks();
    return {*listed.model, *listed.segment, {marks.begin(), marks.end()}};
}

} // namespace

auto bounded_id(std::string_view id, std::string& buffer) -> std::string_view
{
    if (id.size() <= max_id_length) return id;
    buffer = sha256(id);
    return buffer;
}

auto crash_marks::add(std::string_view model, std::string_view segment, std::uint64_t run,
                      int generation_when_sent, time_point now) -> bool
{
    auto buffer = std::string{};
    auto model_buffer = std::string{};
    segment = bounded_id(segment, buffer);
    model = bounded_id(model, model_buffer);
    auto* const known = find_mutable(model, segment);
    auto const generation_now = known != nullptr ? known->generation_without(run) : 0;
    auto const generation = 1 + std::max(0, std::min(generation_when_sent, generation_now));
    if (known != nullptr) return known->add(run, generation, now, limits_);
    auto added = marked_segment{};
    added.add(run, generation, now, limits_);
    return insert(model, segment, std::move(added));
}

auto crash_marks::merge(segment_record const& record, time_point now) -> bool
{
    auto buffer = std::string{};
    auto model_buffer = std::string{};
    auto const segment = bounded_id(record.segment, buffer);
    auto const model = bounded_id(record.model, model_buffer);
    if (auto* const known = find_mutable(model, segment)) {
        auto const changed = known->merge(record.marks, now, limits_);
        if (known->empty()) erase(std::string{model}, std::string{segment});
        return changed;
    }
    auto added = marked_segment{};
    added.merge(record.marks, now, limits_);
    // Two full entries would otherwise replace records of equal evidence with each other's for ever.
    auto const is_full = size_ >= limits_.max_segments;
    if (is_full && !has_less_evidence(*least_suspected(models_).marks, added)) return false;
    return insert(model, segment, std::move(added));
}

auto crash_marks::clear(std::string_view model, std::string_view segment) -> bool
{
    auto buffer = std::string{};
    auto model_buffer = std::string{};
    auto* const known = find_mutable(bounded_id(model, model_buffer), bounded_id(segment, buffer));
    return known != nullptr && known->clear();
}

auto crash_marks::remove_expired(time_point now) -> bool
{
    auto expired = false;
    for (auto& [model, segments] : models_) {
        for (auto& [segment, marks] : segments)
            expired |= marks.remove_expired(now, limits_);
        size_ -= std::erase_if(segments, [](auto const& each) { return each.second.empty(); });
    }
    std::erase_if(models_, [](auto const& each) { return each.second.empty(); });
    return expired;
}

auto crash_marks::records(std::size_t max_count) -> std::vector<segment_record>
{
    auto listed = list(models_);
    std::sort(listed.begin(), listed.end(),
              [](auto const& left, auto const& right) { return is_less_suspected(right, left); });
    if (listed.size() > max_count) {
        auto const first = listed.begin() + static_cast<std::ptrdiff_t>(max_count / 2);
        auto const rest = listed.size() - max_count / 2;
        std::rotate(first, first + static_cast<std::ptrdiff_t>(rotation_ % rest), listed.end());
        listed.resize(max_count);
        rotation_ = (rotation_ + max_count - max_count / 2) % rest;
    }
    auto records = std::vector<segment_record>{};
    records.reserve(listed.size());
    for (auto const& each : listed)
        records.push_back(to_record(each));
    return records;
}

auto crash_marks::find_model(std::string_view model) const -> segment_map const*
{
    if (models_.empty()) return nullptr;
    auto buffer = std::string{};
    auto const found = models_.find(bounded_id(model, buffer));
    return found != models_.end() ? &found->second : nullptr;
}

auto crash_marks::find(std::string_view model, std::string_view segment) const -> marked_segment const*
{
    auto const* const segments = find_model(model);
    if (segments == nullptr) return nullptr;
    auto buffer = std::string{};
    auto const found = segments->find(bounded_id(segment, buffer));
    return found != segments->end() ? &found->second : nullptr;
}

auto crash_marks::find_mutable(std::string_view model, std::string_view segment) -> marked_segment*
{
    auto const segments = models_.find(model);
    if (segments == models_.end()) return nullptr;
    auto const found = segments->second.find(segment);
    return found != segments->second.end() ? &found->second : nullptr;
}

auto crash_marks::insert(std::string_view model, std::string_view segment, marked_segment marks) -> bool
{
    if (marks.empty()) return false;
    auto const model_name = std::string{model};
    auto const segment_name = std::string{segment};
    if (size_ >= limits_.max_segments) {
        auto const least = least_suspected(models_);
        auto const added = listed_segment{&model_name, &segment_name, &marks};
        if (least.marks == nullptr || is_less_suspected(added, least)) return false;
        erase(*least.model, *least.segment);
    }
    models_[model_name].emplace(segment_name, std::move(marks));
    ++size_;
    return true;
}

auto crash_marks::erase(std::string const& model, std::string const& segment) -> void
{
    auto const segments = models_.find(model);
    segments->second.erase(segments->second.find(segment));
    --size_;
    if (segments->second.empty()) models_.erase(segments);
}

} // namespace hibiscuswall
