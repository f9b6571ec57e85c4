#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "message.h"
#include "records.h"
#include "stream.h"

/// \file
/// A target of the soak: it executes requests in slots, for the time and with a response of the
/// size that the query of the request names (`work-ms`, `bytes`), and records each run.

namespace knapweedknot::soak {

/// Not thread safe.
class target {
public:
    /// Throws std::runtime_error if \p address cannot be bound.
    target(loop& owner, std::string id, std::string service, const endpoint& address,
           records& seen);

    const std::string id;
    const std::string service;
    const endpoint address;

private:
    struct connection;
    struct job;
    void accept(std::shared_ptr<stream> accepted);
    void read(const std::shared_ptr<connection>& from);
    void handle(const std::shared_ptr<connection>& from, const message& request);
    void execute_queued();
    void execute(const std::shared_ptr<job>& next);
    void finish(job& done, run_end how);
    void drop(const std::shared_ptr<connection>& lost);

    loop& owner;
    records& seen;
    std::list<std::shared_ptr<connection>> connections;
    std::deque<std::shared_ptr<job>> queue;
    int running{0};
    acceptor listener;
};

} // namespace knapweedknot::soak
