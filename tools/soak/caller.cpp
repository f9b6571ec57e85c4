#include "caller.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "event/http_client.h"

namespace knapweedknot::soak {

namespace {

constexpr std::size_t most_pipelined = 6;
constexpr int most_retries = 2;
constexpr duration resolve_limit = seconds(1);
constexpr duration resolve_pause = milliseconds(200);
constexpr double longest_pause_s = 4;
constexpr double usable_idle_share = 0.8;
constexpr double smallest_answer_share = 0.2;

/// Connections of all callers are numbered in one sequence.
std::size_t next_connection_number() {
    static std::size_t last = 0;
    return ++last;
}

bool is_promise(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

/// A request with its retries.
struct caller::job {
    const request_kind* kind;
    std::string uri;
    time_point deadline;
    int retries_left{most_retries};
    time_point not_before;
};

struct caller::link {
    std::shared_ptr<stream> peer;
    int edge{0};
    std::size_t number{0};
    /// Index of the attempt in the records, and its job.
    std::deque<std::pair<std::size_t, job_ptr>> unanswered;
    bool takes_requests{true};
    time_point last_used;
};

caller::caller(loop& event_loop, const fleet& called, records& journal, std::size_t number,
               caller_shape wanted, std::uint64_t seed)
    : owner(event_loop), edges(called), seen(journal), name("c" + std::to_string(number)),
      shape(wanted), random(seed), next_send(boot_clock::now()) {}

caller::~caller() {
    for (const link_ptr& item : this->links) {
        item->peer->close();
    }
}

double caller::draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(this->random);
}

bool caller::is_done() const {
    return this->retries.empty() &&
           std::all_of(this->links.begin(), this->links.end(),
                       [](const link_ptr& item) { return item->unanswered.empty(); });
}

void caller::resolve(int tries_left) {
    this->is_resolving = true;
    const int asked = static_cast<int>(this->draw(0, this->edges.size()));
    http_request question;
    question.uri = std::string("/resolve?name=") + host_name + "&region=region&zone=zone-a";
    send_once(this->owner, this->edges.address(asked, fleet::directory_port), question,
              resolve_limit, {},
              [this, tries_left, weak = std::weak_ptr(this->alive)](const http_outcome& outcome) {
                  if (weak.expired()) {
                      return;
                  }
                  this->is_resolving = false;
                  if (outcome && outcome->status == 200) {
                      this->take_addresses(body_text(outcome->body.get()));
                  } else if (tries_left > 1) {
                      this->resolve(tries_left - 1);
                  } else {
                      this->resolve_at = boot_clock::now() + resolve_pause;
                  }
              });
}

void caller::take_addresses(const std::string& text) {
    const auto response = nlohmann::json::parse(text, nullptr, false);
    this->resolve_at = boot_clock::now() + resolve_pause;
    if (!response.is_object() || !response.contains("addresses") || !response.contains("ttl-s")) {
        return;
    }
    this->addresses.clear();
    for (const auto& item : response["addresses"]) {
        if (const auto number = this->edges.edge_at(item.get<std::string>())) {
            this->addresses.push_back(*number);
        }
    }
    this->failed_addresses.clear();
    // Some callers keep a response three times as long.
    const double times = this->shape.stays ? 3 : 1;
    this->resolve_at = boot_clock::now() + from_seconds(response["ttl-s"].get<double>() * times);
    for (const link_ptr& item : std::vector(this->links)) {
        const auto listed = std::find(this->addresses.begin(), this->addresses.end(), item->edge);
        if (!this->shape.stays && listed == this->addresses.end()) {
            this->retire(item);
        }
    }
}

void caller::retire(const link_ptr& used) {
    used->takes_requests = false;
    if (used->unanswered.empty()) {
        used->peer->close();
        std::erase(this->links, used);
    }
}

void caller::expire(const link_ptr& checked) {
    const time_point now = boot_clock::now();
    const bool is_late =
        std::any_of(checked->unanswered.begin(), checked->unanswered.end(),
                    [now](const auto& item) { return item.second->deadline <= now; });
    if (is_late) {
        this->end_link(checked, attempt_end::abandoned);
    }
}

duration caller::usable_idle_time() const {
    const auto& policies = this->seen.policies;
    duration shortest = policies.back().idle_timeout;
    // A policy may apply until its successor does.
    for (std::size_t index = 0; index + 1 < policies.size(); ++index) {
        const time_point replaced = policies[index + 1].confirmed;
        if (replaced == time_point::max() || boot_clock::now() - replaced < policy_apply) {
            shortest = std::min(shortest, policies[index].idle_timeout);
        }
    }
    return from_seconds(to_seconds(shortest) * usable_idle_share);
}

caller::job_ptr caller::draw_job() {
    const bool is_pipelined = this->shape.habit == caller_habit::pipelined;
    std::vector<const request_kind*> fitting;
    std::vector<double> weights;
    for (const request_kind& item : kinds) {
        if (item.is_pipelined == is_pipelined) {
            fitting.push_back(&item);
            weights.push_back(item.weight);
        }
    }
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    auto drawn = std::make_shared<job>();
    drawn->kind = fitting[choice(this->random)];
    const request_kind& kind = *drawn->kind;
    std::lognormal_distribution<double> work(
        std::log(kind.mean_work_ms) - kind.spread * kind.spread / 2, kind.spread);
    const int work_ms = static_cast<int>(std::min(work(this->random), kind.max_work_ms));
    const int bytes =
        static_cast<int>(kind.max_answer_bytes * this->draw(smallest_answer_share, 1));
    drawn->uri = "/" + kind.name + "/?work-ms=" + std::to_string(work_ms) +
                 "&bytes=" + std::to_string(bytes);
    drawn->deadline = boot_clock::now() + kind.deadline;
    return drawn;
}

caller::job_ptr caller::next_job() {
    const time_point now = boot_clock::now();
    std::erase_if(this->retries, [now](const job_ptr& item) { return item->deadline <= now; });
    const auto due = std::find_if(this->retries.begin(), this->retries.end(),
                                  [now](const job_ptr& item) { return item->not_before <= now; });
    if (due != this->retries.end()) {
        job_ptr taken = *due;
        this->retries.erase(due);
        return taken;
    }
    return this->is_stopping || now < this->next_send ? nullptr : this->draw_job();
}

caller::link_ptr caller::open_link() {
    std::vector<int> usable;
    std::copy_if(this->addresses.begin(), this->addresses.end(), std::back_inserter(usable),
                 [this](int item) { return !this->failed_addresses.contains(item); });
    if (usable.empty()) {
        this->failed_addresses.clear();
        return nullptr;
    }
    auto opened = std::make_shared<link>();
    opened->edge =
        usable[static_cast<std::size_t>(this->draw(0, static_cast<double>(usable.size())))];
    opened->number = next_connection_number();
    opened->last_used = boot_clock::now();
    opened->peer =
        stream::connect(this->owner, this->edges.address(opened->edge, fleet::callers_port),
                        this->shape.connection);
    if (opened->peer == nullptr) {
        return nullptr;
    }
    this->links.push_back(opened);
    const std::weak_ptr<link> weak = opened;
    opened->peer->on_data = [this, weak] {
        if (const auto from = weak.lock()) {
            this->read(from);
        }
    };
    opened->peer->on_end = [this, weak](stream_end how) {
        if (const auto ended = weak.lock()) {
            if (how == stream_end::not_connected) {
                this->failed_addresses.insert(ended->edge);
            }
            this->end_link(ended, how == stream_end::fin     ? attempt_end::fin
                                  : how == stream_end::reset ? attempt_end::reset
                                                             : attempt_end::not_connected);
        }
    };
    opened->peer->start();
    return opened;
}

caller::link_ptr caller::usable_link() {
    const duration idle_time = this->usable_idle_time();
    for (const link_ptr& item : std::vector(this->links)) {
        if (!item->takes_requests) {
            continue;
        }
        if (item->unanswered.empty() && boot_clock::now() - item->last_used > idle_time) {
            this->retire(item);
            continue;
        }
        return item;
    }
    return this->open_link();
}

void caller::step() {
    const time_point now = boot_clock::now();
    if (!this->is_resolving && now >= this->resolve_at) {
        this->resolve(3);
    }
    std::size_t unanswered = 0;
    for (const link_ptr& item : std::vector(this->links)) {
        this->expire(item);
    }
    for (const link_ptr& item : this->links) {
        unanswered += item->unanswered.size();
    }
    const bool is_pipelined = this->shape.habit == caller_habit::pipelined;
    if (this->addresses.empty() || unanswered >= (is_pipelined ? most_pipelined : 1)) {
        return;
    }
    if (const job_ptr next = this->next_job()) {
        if (const link_ptr over = this->usable_link()) {
            this->send(over, next);
        } else {
            next->not_before = now + resolve_pause;
            this->retries.push_back(next);
        }
    }
}

void caller::send(const link_ptr& over, const job_ptr& sent) {
    const time_point now = boot_clock::now();
    attempt made;
    made.id = this->name + "-" + std::to_string(++this->sent_count);
    made.kind = sent->kind->name;
    made.edge = over->edge;
    made.connection = over->number;
    made.behind = over->unanswered.size();
    // As the header tells it.
    made.deadline = std::chrono::floor<milliseconds>(sent->deadline - now);
    made.timeout = sent->kind->timeout;
    made.sent = now;
    made.bytes_per_s = this->shape.connection.bytes_per_s;
    over->unanswered.emplace_back(this->seen.attempts.size(), sent);
    over->takes_requests = this->shape.habit != caller_habit::fresh;
    std::string text = sent->kind->method + " " + sent->uri + " HTTP/1.1\r\nHost: " + host_name +
                       "\r\nX-Request-Id: " + made.id +
                       "\r\nX-Deadline-Ms: " + std::to_string(to_milliseconds(made.deadline)) +
                       "\r\nX-Key: " + api_key + "\r\n";
    constexpr std::size_t body_bytes = 300;
    const std::string body(sent->kind->is_safe() ? 0 : body_bytes, 'b');
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    this->seen.attempts.push_back(std::move(made));
    constexpr double shortest_pause_s = 0.03;
    constexpr double usual_pause_s = 0.4;
    this->next_send = now + from_seconds(this->draw(shortest_pause_s, usual_pause_s));
    over->peer->send(text + "\r\n" + body);
}

void caller::read(const link_ptr& from) {
    while (!from->unanswered.empty()) {
        const auto response = take_message(from->peer->input);
        if (!response) {
            return;
        }
        this->take_response(from, *response);
    }
    if (!from->peer->input.empty()) {
        // A response to no request, such as 408 at the idle timeout.
        this->retire(from);
    }
}

void caller::take_response(const link_ptr& from, const message& response) {
    const auto [index, answered] = from->unanswered.front();
    from->unanswered.pop_front();
    const time_point now = boot_clock::now();
    from->last_used = now;
    attempt& made = this->seen.attempts[index];
    made.end = attempt_end::answered;
    made.ended = now;
    made.status = response.status();
    made.is_signed = !response.header("X-Response-Signature").empty();
    made.received = response.body.size();
    if (is_promise(made.status)) {
        const std::string wait(response.header("Retry-After"));
        this->retry(answered, true, from_seconds(std::strtod(wait.c_str(), nullptr)));
    } else if (made.status >= 500) {
        this->retry(answered, false, duration::zero());
    }
    if (this->shape.habit == caller_habit::idling) {
        const double idle_s = std::min(longest_pause_s, to_seconds(this->usable_idle_time()));
        this->next_send = now + from_seconds(this->draw(idle_s / 2, idle_s));
    }
    if (equal_ignoring_case(response.header("Connection"), "close")) {
        this->end_link(from, attempt_end::behind_closing_response);
    } else if (!from->takes_requests) {
        this->retire(from);
    }
}

void caller::end_link(const link_ptr& ended, attempt_end how) {
    const time_point now = boot_clock::now();
    std::size_t received = ended->peer->input.size();
    const bool was_read =
        how != attempt_end::behind_closing_response && how != attempt_end::not_connected;
    for (const auto& [index, unanswered] : ended->unanswered) {
        attempt& made = this->seen.attempts[index];
        made.end = how;
        made.ended = now;
        made.received = std::exchange(received, 0);
        this->retry(unanswered, !was_read, duration::zero());
    }
    ended->unanswered.clear();
    ended->takes_requests = false;
    ended->peer->close();
    std::erase(this->links, ended);
}

void caller::retry(const job_ptr& failed, bool has_not_run, duration wait) {
    const time_point now = boot_clock::now();
    const auto left = failed->deadline - now;
    if ((!has_not_run && !failed->kind->is_safe()) || failed->retries_left == 0 ||
        left <= duration::zero()) {
        return;
    }
    --failed->retries_left;
    failed->not_before = now + std::min(wait, std::chrono::duration_cast<duration>(left / 3));
    this->retries.push_back(failed);
}

} // namespace knapweedknot::soak
