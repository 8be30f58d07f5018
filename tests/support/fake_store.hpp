#pragma once
// The key-value service inside the test's process, at an address of its own.
//
//   auto store = fake_store{io};
//   store.drop_responses = 1;          // the next write of store.loses takes effect but its answer is cut
//   store.down = true;               // every call answers 503
#include "hibiscuswall/http/http_server.hpp"
#include "standins/support/key_value_table.hpp"
#include "support/port_pool.hpp"

namespace hibiscuswall {

struct fake_store : key_value_table {
    explicit fake_store(asio::io_context& io) : key_value_table{io}, server{io, routes, nullptr, {}}
    {
        loses = "config/root";
        serve(routes);
        if (!server.listen(where)) std::abort();
    }

    address where = port_pool::next();
    http_router routes;
    http_server server;
};

} // namespace hibiscuswall
