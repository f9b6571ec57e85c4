#include "target.h"

#include <algorithm>
#include <utility>

namespace knapweedknot::soak {

namespace {

constexpr int slots = 6;
constexpr std::size_t queue_limit = 24;
constexpr duration idle_timeout = seconds(10);

std::string response(const std::string& status, const std::string& request_id,
                     const std::string& further, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request_id + "\r\n" + further +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

/// A request that waits or runs.
struct target::job {
    std::shared_ptr<connection> from;
    std::string request_id;
    duration work;
    std::size_t answer_bytes;
    time_point deadline;
    std::size_t run_number{0};
    bool is_running{false};
    timer finish_timer;
};

struct target::connection {
    std::shared_ptr<stream> peer;
    std::shared_ptr<job> current;
    timer idle_timer;
};

target::target(loop& event_loop, std::string name, std::string service_name, const endpoint& where,
               records& journal)
    : id(std::move(name)), service(std::move(service_name)), address(where), owner(event_loop),
      seen(journal),
      listener(event_loop, where, [this](auto accepted) { this->accept(std::move(accepted)); }) {}

void target::accept(std::shared_ptr<stream> accepted) {
    auto added = std::make_shared<connection>();
    added->peer = std::move(accepted);
    this->connections.push_back(added);
    const std::weak_ptr<connection> weak = added;
    added->peer->on_data = [this, weak] { this->read(weak.lock()); };
    added->peer->on_end = [this, weak](stream_end /*unused*/) { this->drop(weak.lock()); };
    added->idle_timer = this->owner.after(idle_timeout, [this, weak] { this->drop(weak.lock()); });
    added->peer->start();
}

void target::read(const std::shared_ptr<connection>& from) {
    if (from == nullptr || from->current != nullptr) {
        return;
    }
    if (const auto request = take_message(from->peer->input)) {
        from->idle_timer = timer();
        this->handle(from, *request);
    }
}

void target::handle(const std::shared_ptr<connection>& from, const message& request) {
    const std::string request_id(request.header("X-Request-Id"));
    const auto refuse = [&](const std::string& status, const std::string& further) {
        from->peer->send(response(status, request_id, further, ""));
        const std::weak_ptr<connection> weak = from;
        from->idle_timer =
            this->owner.after(idle_timeout, [this, weak] { this->drop(weak.lock()); });
    };
    if (request.uri() == "/health") {
        refuse("200 OK", "X-Instance-Id: " + this->id + "\r\n");
        return;
    }
    const std::string_view meant = request.header("X-Target-Instance");
    if (!meant.empty() && meant != this->id) {
        refuse("421 Misdirected Request", "X-Not-Executed: 1\r\n");
        return;
    }
    if (this->running >= slots && this->queue.size() >= queue_limit) {
        refuse("503 Service Unavailable", "X-Not-Executed: 1\r\n");
        return;
    }
    auto added = std::make_shared<job>();
    added->from = from;
    added->request_id = request_id;
    added->work = from_seconds(query_number(request.uri(), "work-ms", 100) / 1000);
    added->answer_bytes = static_cast<std::size_t>(query_number(request.uri(), "bytes", 100));
    const std::string left(request.header("X-Deadline-Ms"));
    added->deadline = left.empty() ? time_point::max()
                                   : boot_clock::now() + milliseconds(std::atoi(left.c_str()));
    from->current = added;
    this->queue.push_back(added);
    this->execute_queued();
}

void target::execute_queued() {
    while (!this->queue.empty() && this->running < slots) {
        const auto next = std::move(this->queue.front());
        this->queue.pop_front();
        this->execute(next);
    }
}

void target::execute(const std::shared_ptr<job>& next) {
    ++this->running;
    next->is_running = true;
    auto& runs = this->seen.runs[next->request_id];
    next->run_number = runs.size();
    const time_point now = boot_clock::now();
    runs.push_back({this->id, now, {}, run_end::running, next->answer_bytes});
    const bool is_late = now + next->work > next->deadline;
    const duration time = is_late ? std::max(duration::zero(), next->deadline - now) : next->work;
    next->finish_timer = this->owner.after(time, [this, weak = std::weak_ptr(next), is_late] {
        if (const auto done = weak.lock()) {
            this->finish(*done, is_late ? run_end::deadline : run_end::whole);
        }
    });
}

void target::finish(job& done, run_end how) {
    --this->running;
    run& ran = this->seen.runs[done.request_id][done.run_number];
    ran.ended = boot_clock::now();
    ran.end = how;
    const auto from = std::exchange(done.from, nullptr);
    if (how != run_end::cut) {
        const bool is_whole = how == run_end::whole;
        from->peer->send(
            response(is_whole ? "200 OK" : "504 Gateway Timeout", done.request_id,
                     "X-Response-Signature: by-" + this->id + "\r\nKeep-Alive: timeout=10\r\n",
                     std::string(is_whole ? done.answer_bytes : 0, 'a')));
        from->current = nullptr;
        const std::weak_ptr<connection> weak = from;
        from->idle_timer =
            this->owner.after(idle_timeout, [this, weak] { this->drop(weak.lock()); });
        this->owner.post([this, weak] { this->read(weak.lock()); });
    }
    this->execute_queued();
}

void target::drop(const std::shared_ptr<connection>& lost) {
    if (lost == nullptr) {
        return;
    }
    if (const auto current = std::exchange(lost->current, nullptr)) {
        current->finish_timer = timer();
        std::erase(this->queue, current);
        if (current->is_running) {
            this->finish(*current, run_end::cut);
        }
    }
    lost->peer->close();
    this->connections.remove(lost);
}

} // namespace knapweedknot::soak
