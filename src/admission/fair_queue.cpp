#include "hibiscuswall/admission/fair_queue.hpp"

#include <algorithm>
#include <array>

namespace hibiscuswall {
namespace {

constexpr auto classes_ascending =
    std::array{request_class::drafting, request_class::status, request_class::booking};
constexpr auto min_weight = 1e-6; // avoids a division by zero for a weight of 0
// From this number of accounts on, push() erases idle accounts and with them their start tags.
constexpr auto idle_cleanup_threshold = std::size_t{4096};

} // namespace

auto fair_queue::size(request_class priority) const -> std::size_t
{
    auto const found = queues_.find(priority);
    if (found == queues_.end()) return 0;
    auto count = std::size_t{0};
    for (auto const& [account, waiting] : found->second)
        count += waiting.size();
    return count;
}

auto fair_queue::size() const -> std::size_t
{
    auto count = std::size_t{0};
    for (auto const priority : classes_ascending)
        count += size(priority);
    return count;
}

auto fair_queue::over_bounds(request_class new_class) const -> bool
{
    auto const drafting = size(request_class::drafting);
    auto const status = drafting + size(request_class::status);
    if (status + size(request_class::booking) > bounds_.total) return true;
    if (new_class <= request_class::status && status > bounds_.status) return true;
    return new_class == request_class::drafting && drafting > bounds_.drafting;
}

auto fair_queue::push(admission_request request) -> std::vector<std::uint64_t>
{
    if (accounts_.size() >= idle_cleanup_threshold)
        std::erase_if(accounts_,
                      [](auto const& entry) { return entry.second.in_flight + entry.second.waiting == 0; });
    auto const new_class = request.priority;
    auto& account = accounts_[request.account];
    account.weight = std::max(request.weight, min_weight);
    // An account that was idle starts at the current virtual time: it earns no credit while idle.
    if (account.waiting == 0) account.start_tag = std::max(account.start_tag, virtual_time_);
    ++account.waiting;
    auto const name = request.account;
    queues_[new_class][name].push_back(std::move(request));

    auto shed = std::vector<std::uint64_t>{};
    while (over_bounds(new_class))
        shed.push_back(shed_one(new_class));
    return shed;
}

// Removes the newest request of the most loaded account and returns its id. The request comes from the lowest
// class with waiting requests, but never from a class above new_class.
auto fair_queue::shed_one(request_class new_class) -> std::uint64_t
{
    for (auto const priority : classes_ascending) {
        auto& waiting = queues_[priority];
        if (waiting.empty() && priority < new_class) continue;
        auto const load = [&](std::string const& name) {
            auto const& account = accounts_.at(name);
            return static_cast<double>(account.in_flight + account.waiting) / account.weight;
        };
        auto const most_loaded =
            std::max_element(waiting.begin(), waiting.end(), [&](auto const& left, auto const& right) {
                return load(left.first) < load(right.first);
            });
        auto const id = most_loaded->second.back().id;
        remove(id);
        return id;
    }
    return 0; // not reached: the new request itself waits in new_class
}

auto fair_queue::pop(request_class min_class) -> std::optional<admission_request>
{
    for (auto at = classes_ascending.size(); at-- > 0;) {
        auto const priority = classes_ascending.at(at);
        if (priority < min_class) break;
        auto& waiting = queues_[priority];
        if (waiting.empty()) continue;
        auto const precedes = [&](auto const& left, auto const& right) {
            auto const& one = accounts_.at(left.first);
            auto const& other = accounts_.at(right.first);
            auto const one_load = static_cast<double>(one.in_flight) / one.weight;
            auto const other_load = static_cast<double>(other.in_flight) / other.weight;
            if (one_load != other_load) return one_load < other_load;
            if (one.start_tag != other.start_tag) return one.start_tag < other.start_tag;
            return left.second.front().id < right.second.front().id;
        };
        auto const next = std::min_element(waiting.begin(), waiting.end(), precedes);
        auto& account = accounts_.at(next->first);
        auto request = std::move(next->second.front());
        next->second.pop_front();
        if (next->second.empty()) waiting.erase(next);
        virtual_time_ = std::max(virtual_time_, account.start_tag);
        account.start_tag += 1.0 / account.weight;
        --account.waiting;
        ++account.in_flight;
        return request;
    }
    return std::nullopt;
}

auto fair_queue::finished(std::string const& account) -> void
{
    auto const found = accounts_.find(account);
    if (found == accounts_.end()) return;
    if (found->second.in_flight > 0) --found->second.in_flight;
    erase_if_idle(account);
}

auto fair_queue::erase_if_idle(std::string const& account) -> void
{
    auto const found = accounts_.find(account);
    if (found == accounts_.end() || found->second.in_flight + found->second.waiting > 0) return;
    // A start tag in the future is a debt: it must be kept while the account is idle.
    if (found->second.start_tag <= virtual_time_) accounts_.erase(found);
}

template<class Predicate>
auto fair_queue::remove_if(Predicate matches) -> std::vector<std::uint64_t>
{
    auto removed = std::vector<std::uint64_t>{};
    for (auto& [priority, waiting] : queues_) {
        for (auto at = waiting.begin(); at != waiting.end();) {
            auto& list = at->second;
            auto const before = list.size();
            for (auto const& request : list)
                if (matches(request)) removed.push_back(request.id);
            std::erase_if(list, matches);
            accounts_.at(at->first).waiting -= before - list.size();
            auto const name = at->first;
            at = list.empty() ? waiting.erase(at) : std::next(at);
            erase_if_idle(name);
        }
    }
    return removed;
}

auto fair_queue::remove(std::uint64_t id) -> bool
{
    return !remove_if([id](admission_request const& request) { return request.id == id; }).empty();
}

auto fair_queue::expire(time_point now) -> std::vector<std::uint64_t>
{
    return remove_if([now](admission_request const& request) { return request.deadline <= now; });
}

// Requests of one class are taken in the order of their arrival here; the order between accounts differs
// little from it.
auto fair_queue::remove_unstartable(std::function<double(time_point)> const& startable_before)
    -> std::vector<std::uint64_t>
{
    auto before = 0.0; // requests that start earlier
    auto removed = std::vector<std::uint64_t>{};
    for (auto at = classes_ascending.size(); at-- > 0;) {
        auto waiting = std::map<std::uint64_t, time_point>{}; // deadlines by id
        for (auto const& [account, requests] : queues_[classes_ascending.at(at)])
            for (auto const& request : requests)
                waiting.emplace(request.id, request.deadline);
        for (auto const& [id, deadline] : waiting) {
            if (before + 1 <= startable_before(deadline))
                ++before;
            else
                removed.push_back(id);
        }
    }
    for (auto const id : removed)
        remove(id);
    return removed;
}

auto fair_queue::clear() -> std::vector<std::uint64_t>
{
    return remove_if([](admission_request const& /*request*/) { return true; });
}

} // namespace hibiscuswall
