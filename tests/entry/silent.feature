Feature: An upstream or daemon that is silent for a while cuts no answer
  All upstreams of a model stop for more than a second and then go on, so
  that no other one can give the rest of an answer.

  Scenario Outline: <who> silent for <silence> ms, <when>
    Guards against ending an answer that its upstream would have gone on with.
    When 12 callers ask for <tokens> tokens each and <who> stop for <silence> ms <when>
    Then each of them reads its whole answer, from one attempt

    Examples:
      | who         | silence | when                  | tokens |
      | the engines | 1000    | before the first text | 100    |
      | the engines | 1300    | before the first text | 100    |
      | the engines | 1000    | in the middle         | 400    |
      | the engines | 1300    | in the middle         | 400    |
      | the daemons | 1300    | in the middle         | 400    |
      | all of them | 1300    | in the middle         | 400    |

  Scenario Outline: a plain service silent for <silence> ms, <method>
    Guards against a failure, or a second run, of a request whose service only
    answers late.
    When 12 callers call the record service with <method> while it stops for <silence> ms
    Then each of them gets its answer, and each order ran once

    Examples:
      | method | silence |
      | GET    | 1000    |
      | GET    | 1300    |
      | POST   | 1000    |
      | POST   | 1300    |
