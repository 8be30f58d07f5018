"""An endpoint of the direct layout that records what it ran, so that a soak can hold it against the callers' answers.

    back_end = BackEnd("i-1", seed)
    back_end.address, back_end.id     # id changes when the endpoint is replaced
    back_end.runs                     # Run records of the calls that it ran
    back_end.arrivals                 # (when, attempt) of the calls that arrived
    back_end.limit = 2.0              # calls a second that it says it takes; None: it names no limit
"""
import collections
import http.server
import random
import threading
import time

EVENTS = 8  # of a stream
EVENT_PAUSE_SECONDS = 0.01
RUN_SECONDS = (0.002, 0.03)
REFUSED_SHARE = 0.03  # of the calls, by the endpoint's own word

Run = collections.namedtuple("Run", "attempt path endpoint at")


class BackEnd:
    def __init__(self, identity, seed):
        self.id, self.runs, self.lock = identity, [], threading.Lock()
        self.arrivals, self.limit = [], None
        self.rng = random.Random(seed)
        back_end = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                answer(back_end, self)

            do_POST = do_GET

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # a connection that a fault cut

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


def answer(back_end, call):
    call.named_limit = back_end.limit
    body = call.rfile.read(int(call.headers.get("Content-Length", 0)))
    attempt = call.headers.get("X-Hibiscuswall-Attempt-Id", "")
    with back_end.lock:
        back_end.arrivals.append((time.monotonic(), attempt))
        identity, refuses = back_end.id, back_end.rng.random() < REFUSED_SHARE
        seconds = back_end.rng.uniform(*RUN_SECONDS)
    if call.headers.get("X-Hibiscuswall-Expect-Instance") != identity:
        return reply(call, 421, attempt, b"", {"X-Hibiscuswall-Not-Executed": "1"})
    if refuses:
        return reply(call, 503, attempt, b"", {"X-Hibiscuswall-Not-Executed": "1"})
    with back_end.lock:
        back_end.runs.append(Run(attempt, call.path, identity, time.monotonic()))
    if call.path.startswith("/draft/"):
        return stream(call, attempt, int(call.headers.get("Last-Event-Id") or 0))
    time.sleep(seconds)
    return reply(call, 200, attempt, attempt.encode() + b" " + body, {})


def reply(call, status, attempt, body, headers):
    call.send_response(status)
    for name, value in {**headers, **common(call, attempt), "Content-Length": str(len(body))}.items():
        call.send_header(name, value)
    call.end_headers()
    call.wfile.write(body)


def stream(call, attempt, after):
    call.send_response(200)
    for name, value in {**common(call, attempt), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}.items():
        call.send_header(name, value)
    call.end_headers()
    for number in range(after + 1, EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, attempt.encode())
        call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(EVENT_PAUSE_SECONDS)
    call.wfile.write(b"0\r\n\r\n")


def common(call, attempt):
    limit = {} if call.named_limit is None else {"Server-Limit": str(call.named_limit)}
    return {"X-Hibiscuswall-Attempt-Id": attempt, "X-Hibiscuswall-Response-Signature": "s-" + attempt, **limit}
