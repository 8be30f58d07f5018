#include "hibiscuswall/fleet/load_report_channel.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace hibiscuswall {
namespace {

using udp = asio::ip::udp;

constexpr auto subscribe_period = milliseconds{250}; // each is also a look at the path to the agent
constexpr auto subscription_lifetime = milliseconds{3'500};
constexpr auto far_period = 3U; // of the news, one goes to the entries of other regions
constexpr auto datagram_bytes = std::size_t{2'048};

auto open_socket(udp::socket& socket, address const& where) -> result<void>
{
    auto code = boost::system::error_code{};
    auto const local = udp::endpoint{asio::ip::make_address(where.ip), where.port};
    socket.open(local.protocol(), code);
    if (!code) socket.bind(local, code);
    if (!code) socket.non_blocking(true, code);
    if (code) return fail(result_code::settings_invalid, "udp " + where.text() + ": " + code.message());
    return success();
}

auto send_now(udp::socket& socket, std::string const& bytes, udp::endpoint const& to) -> void
{
    auto dropped = boost::system::error_code{};
    socket.send_to(asio::buffer(bytes), to, 0, dropped);
}

auto microseconds_of(time_point at) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(at.time_since_epoch()).count();
}

auto to_address(udp::endpoint const& from) -> address { return {from.address().to_string(), from.port()}; }

} // namespace

// ---- entry

load_listener::load_listener(asio::io_context& io, member const& self, endpoint_table& endpoints,
                             fleet_state const& fleet)
    : socket_{io}, self_{self}, endpoints_{endpoints}, fleet_{fleet}
{
}

auto load_listener::start() -> result<void>
{
    if (auto opened = open_socket(socket_, self_.control); !opened) return opened.error();
    asio::co_spawn(socket_.get_executor(), receive(), asio::detached);
    asio::co_spawn(socket_.get_executor(), subscribe(), asio::detached);
    return success();
}

auto load_listener::receive() -> asio::awaitable<void>
{
    auto buffer = std::array<char, datagram_bytes>{};
    auto from = udp::endpoint{};
    while (true) {
        auto [code, size] = co_await socket_.async_receive_from(asio::buffer(buffer), from,
                                                                asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted) co_return;
        if (code) continue; // a port that is closed at the other side
        auto const message = decode_datagram({buffer.data(), size});
        if (!message) continue;
        if (auto const* news = std::get_if<engine_news>(&*message)) take(*news);
    }
}

auto load_listener::newer_peer() const -> std::optional<address>
{
    if (told_revision_ <= fleet_.revision()) return std::nullopt;
    return best_informed_;
}

auto load_listener::take(engine_news const& news) -> void
{
    auto const now = clock::now();
    auto const round_trip = microseconds{microseconds_of(now) - news.echo_us - news.held_us};
    endpoints_.heard(news, round_trip, now);
    if (on_news_) on_news_();
    if (!news.best_informed || news.operator_revision < told_revision_) return;
    told_revision_ = news.operator_revision;
    best_informed_ = *news.best_informed;
}

auto load_listener::subscribe() -> asio::awaitable<void>
{
    while (true) {
        auto const bytes =
            encode(subscription{self_.name, self_.region, fleet_.revision(), fleet_.weights_revision(),
                                shed_level_ ? shed_level_() : 0.0, microseconds_of(clock::now())});
        auto agents = std::set<std::string>{};
        for (auto const& [id, endpoint] : endpoints_.all())
            if (endpoint->record.weights || endpoint->news)
                agents.insert(endpoint->record.where.ip);
            else if (auto const map = fleet_.map()) {
                auto const* service = map->service(endpoint->record.service);
                if (service != nullptr && service->engine) agents.insert(endpoint->record.where.ip);
            }
        for (auto const& ip : agents)
            send_now(socket_, bytes, {asio::ip::make_address(ip), self_.control.port});
        co_await sleep_for(agents.empty() ? subscribe_period / 4 : subscribe_period);
    }
}

// ---- agent

load_announcer::load_announcer(asio::io_context& io, member const& self, fleet_state const& fleet)
    : socket_{io}, self_{self}, fleet_{fleet}
{
}

auto load_announcer::start() -> result<void>
{
    if (auto opened = open_socket(socket_, self_.control); !opened) return opened.error();
    asio::co_spawn(socket_.get_executor(), receive(), asio::detached);
    return success();
}

auto load_announcer::receive() -> asio::awaitable<void>
{
    auto buffer = std::array<char, datagram_bytes>{};
    auto from = udp::endpoint{};
    while (true) {
        auto [code, size] = co_await socket_.async_receive_from(asio::buffer(buffer), from,
                                                                asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted) co_return;
        if (code) continue;
        auto const message = decode_datagram({buffer.data(), size});
        if (!message) continue;
        if (auto const* asked = std::get_if<subscription>(&*message))
            subscribers_[from] = {clock::now(), *asked};
        auto const* held = std::get_if<chunk_holdings>(&*message);
        if (held != nullptr && on_holdings_) on_holdings_(*held);
    }
}

auto load_announcer::newer_peer() const -> std::optional<address>
{
    auto found = std::optional<address>{};
    for (auto const& [from, entry] : subscribers_) {
        auto const& told = entry.latest;
        auto const lacks_services = fleet_.map() == nullptr && told.operator_revision > 0;
        if (!lacks_services && told.weights_revision <= fleet_.weights_revision()) continue;
        if (!found || told.region == self_.region) found = to_address(from);
    }
    return found;
}

// Entries learn from each other what the store does not tell them: the agent only names who knows most,
// preferring its own region's.
auto load_announcer::name_best_informed(engine_news& news) const -> void
{
    auto best_is_near = false;
    for (auto const& [from, entry] : subscribers_) {
        auto const& told = entry.latest;
        auto const is_near = told.region == self_.region;
        if (told.operator_revision == 0 || told.operator_revision < news.operator_revision) continue;
        if (told.operator_revision == news.operator_revision && (best_is_near || !is_near)) continue;
        news.operator_revision = told.operator_revision;
        news.best_informed = to_address(from);
        best_is_near = is_near;
    }
}

auto load_announcer::tell(chunk_holdings const& held, std::vector<member> const& agents) -> void
{
    auto const bytes = encode(held);
    for (auto const& agent : agents)
        if (agent.name != self_.name)
            send_now(socket_, bytes, {asio::ip::make_address(agent.control.ip), agent.control.port});
}

auto load_announcer::announce(engine_news news, time_point now) -> void
{
    std::erase_if(subscribers_,
                  [&](auto const& each) { return now - each.second.heard_at > subscription_lifetime; });
    news.subscribers = static_cast<int>(subscribers_.size());
    name_best_informed(news);
    news.near_entries.clear();
    news.shed_level = 0;
    for (auto const& [to, entry] : subscribers_)
        news.shed_level += entry.latest.shed_level / static_cast<double>(subscribers_.size());
    for (auto const& [to, entry] : subscribers_)
        if (entry.latest.region == self_.region) news.near_entries.push_back(entry.latest.entry);
    std::sort(news.near_entries.begin(), news.near_entries.end());
    // Entries of other regions send here only when their own engines are full.
    auto const tells_far = news.paused || announced_++ % far_period == 0;
    auto const common = encode(news);
    for (auto const& [to, entry] : subscribers_) {
        if (!tells_far && entry.latest.region != self_.region) continue;
        auto const held = std::chrono::duration_cast<microseconds>(now - entry.heard_at);
        send_now(socket_, addressed(common, entry.latest.sent_at_us, held.count()), to);
    }
}

} // namespace hibiscuswall
